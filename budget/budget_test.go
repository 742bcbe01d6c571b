package budget_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/budget"
)

// TestRatio guards against retries above the ratio, also if the configured ratio is above 0.2.
func TestRatio(t *testing.T) {
	for name, c := range map[string]struct {
		ratio float64
		want  int
	}{
		"a tenth":          {0.1, 10},
		"limited to 0.2":   {0.9, 20},
		"no retries":       {0, 0},
		"negative is none": {-1, 0},
	} {
		Convey(name, t, func() {
			b := budget.New(c.ratio)
			taken := 0
			for range 100 {
				b.Earn()
				if b.Spend() {
					taken++
				}
			}
			So(taken, ShouldEqual, c.want)
		})
	}
}
