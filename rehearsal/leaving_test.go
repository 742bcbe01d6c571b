package rehearsal

import (
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/standin/platform"
	"github.com/fulmarhitch/fulmarhitch/standin/server"
)

// platformOutage makes the store and the VM list unavailable.
var platformOutage = platform.Faults{Outage: true, VMListOutage: true}

// TestLeavingUpstream guards against new requests to an upstream that one VM knows to be leaving, whichever source that VM
// learned it from, and against interrupted requests. The stand-in only reports that it drains and still runs requests, so
// its count of runs shows new ones.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		probesPerSecond float64
		// learn lets one VM learn that the upstream is leaving and returns once it has.
		learn func(f *fleet, u *server.Server)
	}{
		"answer": {0, func(f *fleet, u *server.Server) {
			f.platform.SetFaults(platformOutage)
			u.SetFaults(server.Faults{HealthOverride: server.Draining})
			f.lookupUntilRun(f.vms[0], u)
		}},
		"health probe": {20, func(f *fleet, u *server.Server) {
			f.platform.SetFaults(platformOutage)
			u.SetFaults(server.Faults{HealthOverride: server.Draining})
			n := u.Counters().Probes
			f.so(waitUntil(waitTimeout, func() bool { return u.Counters().Probes > n }), ShouldBeTrue)
		}},
		"VM list": {0, func(f *fleet, u *server.Server) {
			for _, v := range f.vms[1:] {
				v.setPartitioned(true)
			}
			f.publishVMs(u.Address())
			n := f.platform.Counts().ByEndpoint["vms"]
			f.so(waitUntil(waitTimeout, func() bool { return f.platform.Counts().ByEndpoint["vms"] > n }), ShouldBeTrue)
			time.Sleep(100 * time.Millisecond) // time for the answer to arrive
			f.platform.SetFaults(platformOutage)
		}},
		"file": {0, func(f *fleet, u *server.Server) {
			f.omitted = u
			for _, v := range f.vms[1:] {
				v.setPartitioned(true)
			}
			go f.submit(f.vms[0], 1, "a")
			f.so(waitUntil(waitTimeout, func() bool { return f.vms[0].status().Generation == 2 }), ShouldBeTrue)
			f.platform.SetFaults(platformOutage)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 4, func(f *fleet) {
				f.maxEntryVMs, f.probesPerSecond, f.slots = 4, c.probesPerSecond, 32
				for range 4 {
					f.addUpstream(server.Settings{Mean: 10 * time.Millisecond})
				}
			})
			u := f.upstreams[0]
			u.SetFaults(server.Faults{AnswerDelay: 4 * time.Second})
			running := f.lookupUntilRun(f.vms[0], u)
			c.learn(f, u)
			time.Sleep(drainTimeout)
			before := u.Counters().Runs
			f.lookupAtAll()
			f.so(u.Counters().Runs, ShouldEqual, before)
			for status := range running {
				f.so(status, ShouldEqual, http.StatusOK)
			}
			// Only the group's home sends requests to the upstream. The next home knows only from the other VMs that it is leaving.
			f.stopHome("lookups/d0")
			f.lookupAtAll()
			f.so(u.Counters().Runs, ShouldEqual, before)
		})
	}
}

// lookupAtAll sends 20 lookups to each VM and checks that all succeed.
func (f *fleet) lookupAtAll() {
	for _, v := range f.vms {
		for range 20 {
			f.so(statusOf(v.lookup()), ShouldEqual, http.StatusOK)
		}
	}
}

// stopHome stops the home of the group without a drain.
func (f *fleet) stopHome(group string) {
	home := slices.IndexFunc(f.vms, func(v *vm) bool {
		return slices.ContainsFunc(v.status().Groups, func(g struct{ Group string }) bool { return g.Group == group })
	})
	f.so(home, ShouldBeGreaterThanOrEqualTo, 0)
	f.vms[home].stop()
	f.vms = slices.Delete(slices.Clone(f.vms), home, home+1)
}

// lookupUntilRun sends lookups to the VM until the upstream has begun another run. It returns a channel with the statuses
// of all lookups, which is closed after the last one.
func (f *fleet) lookupUntilRun(v *vm, u *server.Server) <-chan int {
	n, sent := u.Counters().Runs, 0
	statuses := make(chan int, 10000)
	done := make(chan bool, 10000)
	f.so(waitUntil(waitTimeout, func() bool {
		// Concurrent requests are spread over the upstreams of the group.
		for range 8 {
			sent++
			go func() {
				statuses <- statusOf(v.lookup())
				done <- true
			}()
		}
		time.Sleep(20 * time.Millisecond)
		return u.Counters().Runs > n
	}), ShouldBeTrue)
	go func() {
		for range sent {
			<-done
		}
		close(statuses)
	}()
	return statuses
}

// statusOf returns the status of an answer without its text.
func statusOf(status int, _ string) int {
	return status
}
