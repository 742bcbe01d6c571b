package proof

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const poison = "poison"

// TestCrashingRequest guards against a request that crashes every upstream that runs it, and that its caller repeats
// through different entry VMs until all upstreams have crashed.
func TestCrashingRequest(t *testing.T) {
	cases := map[string]struct {
		domains  int
		kind     string
		pause    time.Duration
		programs bool
	}{
		"lookup in one failure domain":                {1, lookup, 0, true},
		"lookup in three failure domains":             {3, lookup, 0, true},
		"registration in one failure domain":          {1, registration, 0, false},
		"registration in three failure domains":       {3, registration, 0, false},
		"lookup in three failure domains with pauses": {3, lookup, 300 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetConfig{domains: c.domains, vms: 3, upstreams: 9, slots: 3, upstreamPrograms: c.programs})
			// The retry budget is 0.2 of the offered load, so the homes need some load before they can retry lookups after a crash.
			f.load("before", 320, 8*time.Second)
			for _, u := range f.upstreams {
				f.setFaults(u, `{"crash-text":"poison"}`)
			}
			others := make(chan *loadResults, 1)
			go func() { others <- f.load("innocent", 600, 8*time.Second) }()
			quarantined := f.repeatPoison(c.kind, c.pause)
			results := <-others
			crashed := 0
			for _, u := range f.upstreams {
				if !listens(u.address) {
					crashed++
				}
			}
			Convey(name, t, func() {
				So(crashed, ShouldBeBetweenOrEqual, 1, 2)
				So(quarantined, ShouldBeGreaterThan, 0)
				So(results.unanswered[lookup], ShouldBeEmpty)
				// Registrations that ran alongside the crashing request are unknown, at most two at each crashed upstream.
				So(len(results.unanswered[registration]), ShouldBeLessThanOrEqualTo, 4)
				if !c.programs {
					// A crashed process loses its record of runs.
					So(f.runs(poison), ShouldEqual, crashed)
					So(results.violations(f), ShouldBeEmpty)
				}
			})
		})
	}
}

// repeatPoison sends the crashing request 12 times, to the VMs in turn, and returns how often it was quarantined.
func (f *fleet) repeatPoison(kind string, pause time.Duration) int {
	quarantined := 0
	for n := range 12 {
		v, k := f.vms[n%len(f.vms)], ""
		if kind == registration {
			k = newKey(v)
		}
		if send(v, kind, k, poison, 5*time.Second).reason == "quarantined" {
			quarantined++
		}
		time.Sleep(pause)
	}
	return quarantined
}
