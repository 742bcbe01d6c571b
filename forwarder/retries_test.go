package forwarder_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/forwarder"
)

// TestRetries guards against VMs of a large fleet that never hedge because their share of the retries is small, and against
// hedges that leave nothing for the retries of failed requests.
func TestRetries(t *testing.T) {
	tests := map[string]struct {
		burst          float64
		hedges, others int
	}{
		"a share of none":  {0, 0, 0},
		"a share of one":   {1, 1, 0},
		"a share of two":   {2, 1, 1},
		"a share of eight": {8, 4, 4},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			r := forwarder.NewRetries(0.2)
			r.SetBurst(test.burst)
			for range 100 {
				r.Earn("s")
			}
			count := func(hedge bool) (n int) {
				for r.Spend("s", hedge) {
					n++
				}
				return n
			}
			So(count(true), ShouldEqual, test.hedges)
			So(count(false), ShouldEqual, test.others)
		})
	}
}
