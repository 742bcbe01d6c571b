package slope

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/member"
)

const failureDomains = 8

// size is the size of a configuration and of the fleet of entry VMs.
type size struct {
	upstreams, services, vms int
}

var sizes = []size{{30, 5, 16}, {300, 45, 64}, {3000, 450, 200}}

// runSizes runs the benchmark at each size.
func runSizes(b *testing.B, f func(b *testing.B, s size)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", s.upstreams), func(b *testing.B) { f(b, s) })
	}
}

// text returns an operators' file for the size.
func (s size) text() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "max-entry-vms = %d\ntenants = [\"division\", \"talgljus\"]\n", s.vms)
	for i := range failureDomains {
		fmt.Fprintf(&b, "\n[[failure-domain]]\nname = \"fd-%d\"\nregion = \"region-%d\"\n", i, i%3)
	}
	for i := range s.services {
		fmt.Fprintf(&b, "\n[[service]]\nname = \"service-%03d\"\ntenant = \"division\"\nconnections = 220\nprobes-per-second = 2.0\n", i)
		fmt.Fprintf(&b, "\n[[service.kind]]\nname = \"lookup\"\nclass = \"short\"\nidempotent = true\nweight = 10\ntimeout = \"500ms\"\n")
		for n := i; n < s.upstreams; n += s.services {
			fmt.Fprintf(&b, "\n[[service.upstream]]\nname = \"service-%03d-%d\"\naddress = \"127.%d.%d.%d:1\"\nfailure-domain = \"fd-%d\"\nslots = 3\n",
				i, n, 1+i%200, n/200, 1+n%200, (n/s.services)*3%failureDomains)
		}
	}
	return []byte(b.String())
}

// declaration returns the parsed operators' file for the size.
func (s size) declaration(b *testing.B) *declaration.Declaration {
	d, err := declaration.Parse("slope", s.text())
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// members returns the entry VMs for the size.
func (s size) members() []member.Member {
	var all []member.Member
	for i := range s.vms {
		all = append(all, member.Member{
			Name: fmt.Sprintf("entry-%03d", i), Incarnation: fmt.Sprintf("%016x", i+1), FailureDomain: fmt.Sprintf("fd-%d", i%failureDomains),
			Address: fmt.Sprintf("10.250.0.%d:7000", i), PeerAddress: fmt.Sprintf("10.250.0.%d:7001", i), State: member.Alive,
		})
	}
	return all
}

// liveMemory returns the bytes of live objects and of stacks, after garbage collection.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
