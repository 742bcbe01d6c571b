package selection_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/selection"
)

func candidate(change func(*selection.Candidate)) selection.Candidate {
	c := selection.Candidate{
		Upstream:  roster.Upstream{Slots: 3},
		Condition: condition.Condition{HasLoad: true, Load: exchange.Load{Slots: 3, Slowdown: 1}},
		Near:      true,
	}
	change(&c)
	return c
}

// TestBest guards against choices that cost callers time: slow hosts, full upstreams, failing ones and needless crossings to
// other failure domains.
func TestBest(t *testing.T) {
	now := time.Unix(100, 0)
	unchanged := func(*selection.Candidate) {}
	far := func(c *selection.Candidate) { c.Near = false }
	slow := func(c *selection.Candidate) { c.Condition.Load.Slowdown = 7 }
	full := func(c *selection.Candidate) { c.Condition.Load.Running = 3 }
	cold := func(c *selection.Candidate) { c.Upstream.WarmAt = now.Add(time.Second) }
	tests := map[string]struct{ better, worse func(*selection.Candidate) }{
		"normal before slow":             {unchanged, slow},
		"near before far":                {unchanged, far},
		"far before near slow":           {far, slow},
		"far before near full":           {far, full},
		"full before slow":               {full, slow},
		"warm before cold":               {unchanged, cold},
		"successful before failing":      {unchanged, func(c *selection.Candidate) { c.Condition.FailureRate = 0.35 }},
		"slow before unreachable":        {slow, func(c *selection.Candidate) { c.Condition.Unreachable = true }},
		"healthy before unhealthy":       {unchanged, func(c *selection.Candidate) { c.Condition.Unhealthy = true }},
		"known before unknown":           {unchanged, func(c *selection.Candidate) { c.Condition.HasLoad = false }},
		"unknown before slow":            {func(c *selection.Candidate) { c.Condition.HasLoad = false }, slow},
		"fresh normal before old normal": {unchanged, func(c *selection.Candidate) { c.Condition.Age = 300 * time.Millisecond }},
		"old slow before fresh slow":     {func(c *selection.Candidate) { slow(c); c.Condition.Age = time.Second }, slow},
		"far before the last near slot":  {far, func(c *selection.Candidate) { c.Condition.Load.Running = 2 }},
		"a near slot of two before far":  {func(c *selection.Candidate) { c.Condition.Load.Running = 1 }, far},
		"few own requests before many":   {unchanged, func(c *selection.Candidate) { c.Condition.OwnSinceReport = 2 }},
	}
	for name, test := range tests {
		Convey("Given the choice "+name, t, func() {
			for range 4 {
				i, _ := selection.Best([]selection.Candidate{candidate(test.worse), candidate(test.better)}, now)
				So(i, ShouldEqual, 1)
			}
		})
	}
}

// TestTies guards against using only one of several upstreams of equal cost.
func TestTies(t *testing.T) {
	Convey("Given three equal upstreams", t, func() {
		all := make([]selection.Candidate, 3)
		counts := make([]int, 3)
		for range 3000 {
			i, _ := selection.Best(all, time.Unix(100, 0))
			counts[i]++
		}
		for _, n := range counts {
			So(n, ShouldBeBetween, 850, 1150)
		}
		none, _ := selection.Best(nil, time.Unix(100, 0))
		So(none, ShouldEqual, -1)
	})
}
