package rehearsal

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/home"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/standin/platform"
)

// configurationCase runs on a fleet with generation 1 in force and returns the generation expected in force afterwards.
type configurationCase struct {
	domains, vms int
	run          func(f *fleet) int
}

// TestConfiguration guards against a change that is lost, applied twice, reverted or late when operators submit
// concurrently or the platform fails.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	cases := map[string]configurationCase{
		"racing operators": {4, 4, func(f *fleet) int {
			var wait sync.WaitGroup
			statuses, texts := make([]int, 4), make([]string, 4)
			for i, v := range f.vms {
				wait.Go(func() { statuses[i], texts[i] = f.submit(v, 1, fmt.Sprint("op-", i)) })
			}
			wait.Wait()
			acceptedCount := 0
			for i := range statuses {
				if accepted(statuses[i], texts[i]) {
					acceptedCount++
					continue
				}
				f.so(statuses[i], ShouldEqual, http.StatusConflict)
				f.so(texts[i], ShouldContainSubstring, "generation 2 was accepted")
			}
			f.so(acceptedCount, ShouldEqual, 1)
			return 2
		}},
		"lost answer": {2, 2, func(f *fleet) int {
			f.platform.SetFaults(platform.Faults{LoseAnswers: true})
			f.so(accepted(f.submit(f.vms[1], 1, "a")), ShouldBeTrue)
			f.platform.SetFaults(platform.Faults{})
			f.so(accepted(f.submit(f.vms[0], 1, "a")), ShouldBeTrue)
			return 2
		}},
		"outage before": {2, 2, func(f *fleet) int {
			f.platform.SetFaults(platform.Faults{Outage: true})
			status, _ := f.submit(f.vms[0], 1, "a")
			f.so(status, ShouldEqual, http.StatusServiceUnavailable)
			f.so(f.waitInForce(1, inForceTimeout), ShouldBeTrue)
			f.platform.SetFaults(platform.Faults{})
			f.so(accepted(f.submit(f.vms[0], 1, "a")), ShouldBeTrue)
			return 2
		}},
		"outage during": {2, 2, func(f *fleet) int {
			// The delay keeps the submission from reading, before the outage, that its write took effect.
			f.platform.SetFaults(platform.Faults{LoseAnswers: true, Delay: 500 * time.Millisecond})
			done := make(chan int, 1)
			go func() {
				status, _ := f.submit(f.vms[0], 1, "a")
				done <- status
			}()
			f.so(waitUntil(waitTimeout, func() bool { return f.storedGeneration() == 2 }), ShouldBeTrue)
			f.platform.SetFaults(platform.Faults{Outage: true})
			gets := f.platform.Counts().ByEndpoint["get"]
			f.so(waitUntil(waitTimeout, func() bool { return f.platform.Counts().ByEndpoint["get"] > gets+3 }), ShouldBeTrue)
			f.platform.SetFaults(platform.Faults{})
			f.so(<-done, ShouldEqual, http.StatusOK)
			return 2
		}},
		"outage after": {2, 2, func(f *fleet) int {
			f.so(accepted(f.submit(f.vms[0], 1, "a")), ShouldBeTrue)
			f.platform.SetFaults(platform.Faults{Outage: true, VMListOutage: true})
			time.Sleep(inForceTimeout)
			for _, v := range f.vms {
				status, text := v.lookup()
				f.so(fmt.Sprint(status, text), ShouldStartWith, "200")
			}
			return 2
		}},
		"older value": {1, 3, func(f *fleet) int {
			f.so(accepted(f.submit(f.vms[0], 1, "a")), ShouldBeTrue)
			f.so(accepted(f.submit(f.vms[0], 2, "b")), ShouldBeTrue)
			isWatcher := f.watchers()
			var other *vm
			for _, v := range f.vms {
				v.setPartitioned(isWatcher[v.Member().Name])
				if !isWatcher[v.Member().Name] {
					other = v
				}
			}
			f.so(f.platform.RollBack(envelope.Key, 1), ShouldBeNil)
			for _, base := range []int{1, 3} {
				status, text := f.submit(other, base, "c")
				f.so(status, ShouldEqual, http.StatusServiceUnavailable)
				f.so(text, ShouldContainSubstring, "behind")
			}
			f.so(f.waitInForce(3, inForceTimeout), ShouldBeTrue)
			f.so(f.storedGeneration(), ShouldEqual, 1)
			for _, v := range f.vms {
				v.setPartitioned(false)
			}
			f.so(waitUntil(inForceTimeout, func() bool { return f.storedGeneration() == 3 }), ShouldBeTrue)
			f.so(accepted(f.submit(other, 3, "d")), ShouldBeTrue)
			return 4
		}},
		"cut off from the platform": {2, 4, func(f *fleet) int {
			f.vms[3].setPartitioned(true)
			f.so(accepted(f.submit(f.vms[0], 1, "a")), ShouldBeTrue)
			f.so(accepted(f.submit(f.vms[1], 2, "b")), ShouldBeTrue)
			return 3
		}},
		"started in an outage": {3, 3, func(f *fleet) int {
			f.platform.SetFaults(platform.Faults{Outage: true, VMListOutage: true})
			v := f.start("e3", 0)
			f.so(waitUntil(waitTimeout, func() bool { return v.status().Ready }), ShouldBeTrue)
			f.so(v.status().Generation, ShouldEqual, 1)
			f.so(accepted(v.lookup()), ShouldBeTrue)
			return 1
		}},
		"started in an outage without peers of two failure domains": {2, 2, func(f *fleet) int {
			f.platform.SetFaults(platform.Faults{Outage: true, VMListOutage: true})
			f.vms[1].stop()
			f.vms = f.vms[:1]
			f.so(waitUntil(waitTimeout, func() bool { return f.vms[0].sees("e1", "dead") }), ShouldBeTrue)
			withPeer := f.startWith("e2", 0, []string{f.vms[0].Member().PeerAddress})
			withoutPeers := f.startWith("e3", 1, nil)
			f.so(waitUntil(waitTimeout, func() bool { return withPeer.status().Generation == 1 && withPeer.sees("e0", "alive") }), ShouldBeTrue)
			for range 10 {
				for _, v := range []*vm{withPeer, withoutPeers} {
					status, text := v.lookup()
					f.so(status, ShouldEqual, http.StatusServiceUnavailable)
					f.so(text, ShouldStartWith, "not-ready")
				}
				time.Sleep(100 * time.Millisecond)
			}
			f.platform.SetFaults(platform.Faults{})
			f.vms = append(f.vms, withPeer, withoutPeers)
			return 1
		}},
		"cut off from everybody": {2, 2, func(f *fleet) int {
			isolated := f.vms[0]
			isolated.setPartitioned(true)
			f.vms[1].stop()
			f.vms = f.vms[:1]
			refused := func() bool {
				_, text := isolated.lookup()
				return strings.HasPrefix(text, "isolated")
			}
			start := time.Now()
			f.so(waitUntil(inForceTimeout, refused), ShouldBeTrue)
			// The last contact may be a ping of up to two rounds before the partition.
			f.so(time.Since(start), ShouldBeGreaterThan, 3*time.Second)
			isolated.setPartitioned(false)
			f.so(waitUntil(waitTimeout, func() bool { return accepted(isolated.lookup()) }), ShouldBeTrue)
			return 1
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.domains, c.vms)
			n := c.run(f)
			f.so(f.waitInForce(n, inForceTimeout), ShouldBeTrue)
			f.so(f.storedGeneration(), ShouldEqual, n)
		})
	}
}

// accepted reports whether the status is 200 and the text lists no VM that has not confirmed the change.
func accepted(status int, text string) bool {
	return status == http.StatusOK && !strings.Contains(text, `"unconfirmed":["`)
}

// sees reports whether the VM sees the named member in the state.
func (v *vm) sees(name, state string) bool {
	for _, m := range v.status().Members {
		if m.Name == name {
			return m.State == state
		}
	}
	return false
}

// watchers returns the set of the names of the VMs that watch the store.
func (f *fleet) watchers() map[string]bool {
	byDomain := make(map[string][]member.Member)
	for _, v := range f.vms {
		m := v.Member()
		m.State = member.Alive
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	all := make(map[string]bool)
	for d, members := range byDomain {
		for _, name := range home.Watchers(d, members) {
			all[name] = true
		}
	}
	return all
}
