package proof

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const poison = "poison"

// TestCrashingRequest guards against a request that crashes every upstream that runs it and that its caller repeats
// through different entry VMs until no upstream is left.
func TestCrashingRequest(t *testing.T) {
	cases := map[string]struct {
		domains  int
		kind     string
		pause    time.Duration
		programs bool
	}{
		"lookup in one failure domain":                {1, lookup, 0, true},
		"lookup in three failure domains":             {3, lookup, 0, true},
		"registration in one failure domain":          {1, act, 0, false},
		"registration in three failure domains":       {3, act, 0, false},
		"lookup in three failure domains with pauses": {3, lookup, 300 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, shape{domains: c.domains, vms: 3, upstreams: 9, slots: 3, upstreamPrograms: c.programs})
			// Retries are limited to 0.2 of the offered load, so that the homes first need some to retry lookups at a death.
			f.load("before", 320, 8*time.Second)
			for _, u := range f.upstreams {
				f.faults(u, `{"crash-text":"poison"}`)
			}
			innocent := make(chan *traffic, 1)
			go func() { innocent <- f.load("innocent", 600, 8*time.Second) }()
			quarantined := f.repeatPoison(c.kind, c.pause)
			tr := <-innocent
			dead := 0
			for _, u := range f.upstreams {
				if !listens(u.address) {
					dead++
				}
			}
			Convey(name, t, func() {
				So(dead, ShouldBeBetweenOrEqual, 1, 2)
				So(quarantined, ShouldBeGreaterThan, 0)
				So(tr.unanswered[lookup], ShouldBeEmpty)
				// The registrations that ran beside the crashing one are unknown, at most two at each lost upstream.
				So(len(tr.unanswered[act]), ShouldBeLessThanOrEqualTo, 4)
				if !c.programs {
					// The record of a program is lost with it.
					So(f.runs(poison), ShouldEqual, dead)
					So(tr.broken(f), ShouldBeEmpty)
				}
			})
		})
	}
}

// repeatPoison sends the crashing request 12 times to the VMs in turn and returns how often it was quarantined.
func (f *fleet) repeatPoison(kind string, pause time.Duration) int {
	quarantined := 0
	for n := range 12 {
		v, k := f.vms[n%len(f.vms)], ""
		if kind == act {
			k = keyOf(v)
		}
		if send(v, kind, k, poison, 5*time.Second).reason == "quarantined" {
			quarantined++
		}
		time.Sleep(pause)
	}
	return quarantined
}
