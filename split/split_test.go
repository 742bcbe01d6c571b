package split_test

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/ruleset"
	"github.com/fulmarhitch/fulmarhitch/split"
)

// TestPick guards against shares that deviate from the weights when many VMs each serve few requests.
func TestPick(t *testing.T) {
	tests := map[string]struct {
		weights       []float64
		vms           int
		requestsPerVM int
	}{
		"one VM":                {[]float64{90, 10}, 1, 1000},
		"many VMs, few each":    {[]float64{90, 10}, 19, 17},
		"three parts":           {[]float64{50, 30, 20}, 14, 25},
		"a part of weight zero": {[]float64{100, 0}, 14, 25},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			r := &ruleset.Rule{Host: "h", Prefix: "/p/"}
			total := 0.0
			for i, w := range test.weights {
				r.Parts = append(r.Parts, ruleset.Part{Service: string(rune('a' + i)), Weight: w})
				total += w
			}
			counts := make(map[string]int)
			for range test.vms {
				s := split.New()
				for range test.requestsPerVM {
					counts[s.Pick(r)]++
				}
			}
			for _, p := range r.Parts {
				share := float64(counts[p.Service]) / float64(test.vms*test.requestsPerVM)
				So(math.Abs(share-p.Weight/total), ShouldBeLessThan, 0.05)
				if p.Weight == 0 {
					So(counts[p.Service], ShouldEqual, 0)
				}
			}
		})
	}
}
