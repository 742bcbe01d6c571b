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

// probeSample is the number of probes that an upstream had received at some time between before and after.
type probeSample struct {
	before, after time.Time
	probes        int
}

// maxExcess returns by how many probes the samples exceed the guarantees of package probe for P probes per second and at
// most N entry VMs: P*W probes in windows of W >= N/P seconds and N in shorter ones.
func maxExcess(all []probeSample, p float64, n int) float64 {
	excess := -1e9
	for i, a := range all {
		for _, b := range all[i:] {
			window := b.after.Sub(a.before).Seconds()
			excess = max(excess, float64(b.probes-a.probes)-max(p*window, float64(n)))
		}
	}
	return excess
}

// TestProbeBudget guards against probes above the budget while VMs start, stop, pause and have different views of the
// membership. All VMs probe, because the upstream reports that it fails.
func TestProbeBudget(t *testing.T) {
	t.Parallel()
	const vms, limit, perSecond = 4, 8, 40.0
	cases := map[string]func(f *fleet, round int){
		"starts and stops": func(f *fleet, round int) {
			f.vms[0].stop()
			f.vms = append(f.vms[1:], f.startWith(fmt.Sprint("n", round), round%2, []string{f.vms[1].Member().PeerAddress}))
			f.publishVMs("")
		},
		// Each VM sees itself as the only member and therefore has rank 0.
		"strangers": func(f *fleet, round int) {
			f.vms[0].stop()
			f.vms = append(f.vms[1:], f.startWith(fmt.Sprint("n", round), round%2, nil))
		},
		"pauses": func(f *fleet, _ int) { f.childVM.pause(700 * time.Millisecond) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 0, func(f *fleet) { f.maxEntryVMs, f.probesPerSecond = limit, perSecond })
			f.upstreams[0].SetFaults(server.Faults{HealthOverride: server.Failing})
			for i := range vms {
				switch {
				case name == "strangers":
					f.vms = append(f.vms, f.startWith(fmt.Sprint("e", i), i%2, nil))
				case name == "pauses" && i == 0:
					f.childVM = f.startChild("e0", 0)
				default:
					f.start(fmt.Sprint("e", i), i%2)
				}
			}
			f.so(statusOf(f.submit(f.vms[0], 0, "first")), ShouldEqual, http.StatusOK)
			var all []probeSample
			next := time.Now()
			for round := 0; round < 8; {
				s := probeSample{before: time.Now(), probes: f.upstreams[0].Counters().Probes}
				s.after = time.Now()
				if all = append(all, s); s.after.After(next) {
					round++
					change(f, round)
					next = time.Now().Add(time.Second)
				}
				time.Sleep(5 * time.Millisecond)
			}
			t.Logf("%d probes; largest excess over the guarantee: %.2f", all[len(all)-1].probes, maxExcess(all, perSecond, limit))
			f.so(all[len(all)-1].probes, ShouldBeGreaterThan, limit)
			f.so(maxExcess(all, perSecond, limit), ShouldBeLessThanOrEqualTo, 0)
		})
	}
}

// probesMetric returns the VM's metric line with the number of probes that it has sent.
func (v *vm) probesMetric() string {
	_, text := call(http.MethodGet, "http://"+v.Member().Address+"/metrics", "")
	for _, line := range strings.Split(text, "\n") {
		if strings.Contains(line, "probes") && !strings.HasPrefix(line, "#") {
			return line
		}
	}
	return "no metric"
}

// TestTooMany guards against a VM that serves although the fleet is full: the limits are not divided for that many VMs.
func TestTooMany(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		name string
		// which returns the VM that must not serve.
		which func(older, newer *vm) *vm
		peers bool
	}{
		"more than max-entry-vms":        {"e3", func(_, newer *vm) *vm { return newer }, true},
		"more, known from the list only": {"e3", func(_, newer *vm) *vm { return newer }, false},
		"name taken over":                {"e2", func(older, _ *vm) *vm { return older }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 3, func(f *fleet) { f.maxEntryVMs, f.probesPerSecond = 3, 10 })
			f.upstreams[0].SetFaults(server.Faults{HealthOverride: server.Failing})
			older := f.vms[2]
			var peers []string
			if c.peers {
				peers = []string{f.vms[0].Member().PeerAddress}
			}
			newer := f.startWith(c.name, 0, peers)
			f.vms = append(f.vms, newer)
			v := c.which(older, newer)
			refuses := func() bool { return statusOf(v.lookup()) == http.StatusServiceUnavailable }
			if v == newer {
				// It must not serve even for the moment in which it has a configuration but no answer from the others.
				for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
					f.so(refuses(), ShouldBeTrue)
				}
			}
			// A process releases its name only after its first 10 s.
			f.so(waitUntil(waitTimeout, refuses), ShouldBeTrue)
			time.Sleep(time.Second) // a probe in flight may take up to 1 s
			sent := v.probesMetric()
			f.so(sent, ShouldNotEqual, "no metric")
			for range 30 {
				f.so(refuses(), ShouldBeTrue)
				time.Sleep(100 * time.Millisecond)
			}
			f.so(v.probesMetric(), ShouldEqual, sent)
			for _, other := range f.vms {
				if other != v {
					f.so(statusOf(other.lookup()), ShouldEqual, http.StatusOK)
				}
			}
		})
	}
}
