package gossip_test

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// legBytes stands for what HTTP/2, connect and the headers of TCP/IP add to one message or answer. TestWire measures
// the first two; a segment and its acknowledgement have about 80 bytes of headers.
const legBytes = 120

// load runs a settled fleet for a minute with one drain a second and a new generation every 20 s, and returns the
// bytes that one VM sends and receives in a second.
func load(n *network, vms []*vm) float64 {
	n.mu.Lock()
	n.bytes, n.legs = 0, 0
	n.mu.Unlock()
	for s := range 60 {
		vms[s%len(vms)].Publish(drain(fmt.Sprint("u", s), 0))
		if s%20 == 0 {
			for _, v := range vms {
				v.SetGeneration(uint64(s + 1))
			}
		}
		time.Sleep(time.Second)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return 2 * float64(n.bytes+n.legs*legBytes) / 60 / float64(len(vms))
}

// TestBudget guards against control traffic above 10 KB a second for a VM, and against traffic that grows with the
// fleet. Each VM knows 3,000 upstreams, so that a comparison that sent the whole state would break the bound.
func TestBudget(t *testing.T) {
	for _, size := range []int{16, 64, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				n := newNetwork(7)
				vms := fleet(n, size)
				time.Sleep(5 * time.Second)
				for i := range 3000 {
					vms[0].Publish(drain(fmt.Sprint("old", i), 1))
				}
				time.Sleep(70 * time.Second) // until pings no longer carry the old events
				Convey("The fleet stays within the budget", t, func() {
					So(knowing(vms, "old2999"), ShouldEqual, size)
					start := processor()
					bytes := load(n, vms)
					used := float64((processor() - start).Microseconds()) / 60 / float64(size)
					t.Logf("%d VMs: %.0f bytes and %.0f us of processor time a second for each", size, bytes, used)
					So(bytes, ShouldBeLessThan, 10_000)
				})
				for _, v := range vms {
					v.kill()
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
