package measure_test

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/measure"
)

func plan(concurrentRuns int, situations ...string) measure.Plan {
	p := measure.Plan{Services: measure.Services()[:2], Policies: measure.Policies(), Seeds: []uint64{1, 2}, MaxConcurrentRuns: concurrentRuns}
	for _, s := range measure.Situations() {
		for _, name := range situations {
			if s.Name == name {
				p.Situations = append(p.Situations, s)
			}
		}
	}
	return p
}

// TestDeterministic guards against results that depend on the order of goroutines or of map entries.
func TestDeterministic(t *testing.T) {
	Convey("two runs write the same lines", t, func() {
		var a, b bytes.Buffer
		So(measure.WriteLines(&a, measure.Run(plan(1, "combined"))), ShouldBeNil)
		So(measure.WriteLines(&b, measure.Run(plan(4, "combined"))), ShouldBeNil)
		So(a.String(), ShouldEqual, b.String())
	})
}

// TestTargets guards against changes of the dispatch decisions that change the ranking of the policies or miss a target
// of section 1.4 of the design.
func TestTargets(t *testing.T) {
	Convey("homes are close to the bound and much better than independent choices", t, func() {
		results := measure.Run(plan(4, "steady", "slow+failing", "crest", "stragglers", "two-homes"))
		p99, weight := make(map[string]float64), make(map[string]float64)
		for _, r := range results {
			if r.Service == "lookups" && r.Seed == 1 {
				p99[r.Situation+" "+r.Policy] = r.P99
				weight[r.Situation+" "+r.Policy] = r.Weight
			}
		}
		So(p99["steady bound"], ShouldBeLessThan, p99["steady bound+network"])
		So(p99["steady homes"], ShouldBeLessThan, 1.15*p99["steady bound+network"])
		So(p99["stragglers homes"], ShouldBeLessThan, 1.3*p99["steady homes"])
		So(p99["slow+failing homes"], ShouldBeLessThan, 1.15*p99["slow+failing bound+network"])
		So(weight["crest homes"], ShouldBeGreaterThan, 0.95*weight["crest bound+network"])
		So(weight["two-homes homes"], ShouldBeGreaterThan, 0.995*weight["two-homes bound+network"])
		for _, name := range []string{"random", "round-robin", "least-requests", "two-choices"} {
			So(p99["steady "+name], ShouldBeGreaterThan, 1.2*p99["steady homes"])
		}
	})
}
