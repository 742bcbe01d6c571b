package rehearsal

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/standin/server"
)

// sample is the number of probes that an upstream had received at a time.
type sample struct {
	before, after time.Time
	probes        int
}

// worst returns by how many probes the samples exceed the guarantees of package probe: P*W in windows of W >= N/P
// seconds and N in shorter ones.
func worst(all []sample, p float64, n int) float64 {
	most := -1e9
	for i, a := range all {
		for _, b := range all[i:] {
			window := b.after.Sub(a.before).Seconds()
			most = max(most, float64(b.probes-a.probes)-max(p*window, float64(n)))
		}
	}
	return most
}

// TestProbeBudget guards against probes above the budget while VMs start, stop, pause and disagree on who is there. All
// VMs probe, because the upstream reports that it fails.
func TestProbeBudget(t *testing.T) {
	t.Parallel()
	const vms, limit, perSecond = 4, 8, 40.0
	cases := map[string]func(f *fleet, round int){
		"starts and stops": func(f *fleet, round int) {
			f.vms[0].stop()
			f.vms = append(f.vms[1:], f.startWith(fmt.Sprint("n", round), round%2, []string{f.vms[1].Member().PeerAddress}))
			f.listVMs("")
		},
		// Each VM believes to be alone and has the rank 0.
		"strangers": func(f *fleet, round int) {
			f.vms[0].stop()
			f.vms = append(f.vms[1:], f.startWith(fmt.Sprint("n", round), round%2, nil))
		},
		"pauses": func(f *fleet, _ int) { f.paused.pause(700 * time.Millisecond) },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 0, func(f *fleet) { f.max, f.probes = limit, perSecond })
			f.upstreams[0].SetFaults(server.Faults{HealthLie: server.Failing})
			for i := range vms {
				switch {
				case name == "strangers":
					f.vms = append(f.vms, f.startWith(fmt.Sprint("e", i), i%2, nil))
				case name == "pauses" && i == 0:
					f.paused = f.child("e0", 0)
				default:
					f.start(fmt.Sprint("e", i), i%2)
				}
			}
			f.so(first(f.submit(f.vms[0], 0, "first")), ShouldEqual, http.StatusOK)
			var all []sample
			next := time.Now()
			for round := 0; round < 8; {
				s := sample{before: time.Now(), probes: f.upstreams[0].Counters().Probes}
				s.after = time.Now()
				if all = append(all, s); s.after.After(next) {
					round++
					disturb(f, round)
					next = time.Now().Add(time.Second)
				}
				time.Sleep(5 * time.Millisecond)
			}
			t.Logf("%d probes, %.2f beside the guarantee", all[len(all)-1].probes, worst(all, perSecond, limit))
			f.so(all[len(all)-1].probes, ShouldBeGreaterThan, limit)
			f.so(worst(all, perSecond, limit), ShouldBeLessThanOrEqualTo, 0)
		})
	}
}

// probes returns the number of probes that the VM has sent.
func (v *vm) probes() string {
	_, text := call(http.MethodGet, "http://"+v.Member().Address+"/metrics", "")
	for _, line := range strings.Split(text, "\n") {
		if strings.Contains(line, "probes") && !strings.HasPrefix(line, "#") {
			return line
		}
	}
	return "no metric"
}

// TestTooMany guards against a VM that works though the fleet has no room for it: its share of the limits is not there.
func TestTooMany(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		name string
		// which returns the VM that must not work.
		which func(old, young *vm) *vm
		peers bool
	}{
		"more than max-entry-vms":        {"e3", func(_, young *vm) *vm { return young }, true},
		"more, known from the list only": {"e3", func(_, young *vm) *vm { return young }, false},
		"name taken over":                {"e2", func(old, _ *vm) *vm { return old }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 3, func(f *fleet) { f.max, f.probes = 3, 10 })
			f.upstreams[0].SetFaults(server.Faults{HealthLie: server.Failing})
			old := f.vms[2]
			var peers []string
			if c.peers {
				peers = []string{f.vms[0].Member().PeerAddress}
			}
			young := f.startWith(c.name, 0, peers)
			f.vms = append(f.vms, young)
			v := c.which(old, young)
			refuses := func() bool { return first(v.lookup()) == http.StatusServiceUnavailable }
			// A process gives up its name only after its first 10 s.
			f.so(until(soon, refuses), ShouldBeTrue)
			time.Sleep(time.Second) // a probe in flight may take this long
			sent := v.probes()
			f.so(sent, ShouldNotEqual, "no metric")
			for range 30 {
				f.so(refuses(), ShouldBeTrue)
				time.Sleep(100 * time.Millisecond)
			}
			f.so(v.probes(), ShouldEqual, sent)
			for _, other := range f.vms {
				if other != v {
					f.so(first(other.lookup()), ShouldEqual, http.StatusOK)
				}
			}
		})
	}
}
