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

// down is a platform that answers nothing.
var down = platform.Faults{Outage: true, VMListOutage: true}

// TestLeavingUpstream guards against new work for an upstream that one VM knows to leave, whatever that VM learned it
// from, and against running work that is cut. The stand-in only reports that it drains and still runs what it gets, so
// that its count of runs shows new work.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		probes float64
		// learn lets one VM learn that the upstream leaves and returns when it knows.
		learn func(f *fleet, u *server.Server)
	}{
		"answer": {0, func(f *fleet, u *server.Server) {
			f.platform.SetFaults(down)
			u.SetFaults(server.Faults{HealthLie: server.Draining})
			f.hit(f.vms[0], u)
		}},
		"health probe": {20, func(f *fleet, u *server.Server) {
			f.platform.SetFaults(down)
			u.SetFaults(server.Faults{HealthLie: server.Draining})
			n := u.Counters().Probes
			f.so(until(soon, func() bool { return u.Counters().Probes > n }), ShouldBeTrue)
		}},
		"VM list": {0, func(f *fleet, u *server.Server) {
			for _, v := range f.vms[1:] {
				v.cut(true)
			}
			f.listVMs(u.Address())
			n := f.platform.Counts().ByEndpoint["vms"]
			f.so(until(soon, func() bool { return f.platform.Counts().ByEndpoint["vms"] > n }), ShouldBeTrue)
			time.Sleep(100 * time.Millisecond) // the answer is on its way
			f.platform.SetFaults(down)
		}},
		"file": {0, func(f *fleet, u *server.Server) {
			f.gone = u
			for _, v := range f.vms[1:] {
				v.cut(true)
			}
			go f.submit(f.vms[0], 1, "a")
			f.so(until(soon, func() bool { return f.vms[0].status().Generation == 2 }), ShouldBeTrue)
			f.platform.SetFaults(down)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 4, func(f *fleet) {
				f.max, f.probes, f.slots = 4, c.probes, 32
				for range 4 {
					f.upstream(server.Settings{Mean: 10 * time.Millisecond})
				}
			})
			u := f.upstreams[0]
			u.SetFaults(server.Faults{Late: 4 * time.Second})
			running := f.hit(f.vms[0], u)
			c.learn(f, u)
			time.Sleep(leaving)
			before := u.Counters().Runs
			f.lookups()
			f.so(u.Counters().Runs, ShouldEqual, before)
			for status := range running {
				f.so(status, ShouldEqual, http.StatusOK)
			}
			// Only the group's home gives work to the upstream. The next home has it from the others alone.
			f.stopHome("lookups/d0")
			f.lookups()
			f.so(u.Counters().Runs, ShouldEqual, before)
		})
	}
}

// lookups sends 20 lookups to each VM.
func (f *fleet) lookups() {
	for _, v := range f.vms {
		for range 20 {
			f.so(first(v.lookup()), ShouldEqual, http.StatusOK)
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

// hit sends lookups to the VM until the upstream has begun another run, and returns the statuses of all.
func (f *fleet) hit(v *vm, u *server.Server) <-chan int {
	n, sent := u.Counters().Runs, 0
	statuses := make(chan int, 10000)
	done := make(chan bool, 10000)
	f.so(until(soon, func() bool {
		// Requests at the same time are spread over the upstreams of the group.
		for range 8 {
			sent++
			go func() {
				statuses <- first(v.lookup())
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

func first(status int, _ string) int {
	return status
}
