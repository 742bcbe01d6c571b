package condition_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/exchange"
)

// TestOwn guards against own requests that are counted twice, once by the VM and once by the upstream's report.
func TestOwn(t *testing.T) {
	Convey("Given an upstream with requests in progress", t, func() {
		now := time.Unix(100, 0)
		c := condition.New()
		c.Begin("u", now)
		c.Begin("u", now)
		So(c.Look("u", now).Own, ShouldEqual, 2)
		c.Report("u", exchange.Load{Running: 2, Slots: 3}, true, now)
		So(c.Look("u", now).Own, ShouldEqual, 0)
		c.Begin("u", now)
		So(c.Look("u", now).Own, ShouldEqual, 1)
		for range 3 {
			c.End("u", false, now)
		}
		So(c.Look("u", now).Own, ShouldEqual, 0)
	})
}

// TestFailing guards against a failure that is remembered for ever and one that is forgotten at once.
func TestFailing(t *testing.T) {
	tests := map[string]struct {
		failed   []bool
		wait     time.Duration
		min, max float64
	}{
		"no failure":        {[]bool{false, false}, 0, 0, 0.001},
		"one failure":       {[]bool{true}, 0, 0.3, 0.4},
		"a row of failures": {[]bool{true, true, true, true}, 0, 0.75, 1},
		"long ago":          {[]bool{true, true, true}, 20 * time.Second, 0, 0.05},
		"after successes":   {[]bool{true, true, false, false, false, false}, 0, 0, 0.2},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			now := time.Unix(100, 0)
			c := condition.New()
			for _, failed := range test.failed {
				c.Begin("u", now)
				c.End("u", failed, now)
			}
			So(c.Look("u", now.Add(test.wait)).Failing, ShouldBeBetweenOrEqual, test.min, test.max)
		})
	}
}

// TestMiss guards against an upstream that is asked again at once, or never again, after it could not be reached.
func TestMiss(t *testing.T) {
	Convey("Given an upstream that can't be reached", t, func() {
		now := time.Unix(100, 0)
		c := condition.New()
		c.Miss("u", now)
		So(c.Look("u", now).Barred, ShouldBeTrue)
		So(c.Look("u", now.Add(400*time.Millisecond)).Barred, ShouldBeFalse)
		for range 9 {
			now = now.Add(5 * time.Second)
			c.Miss("u", now)
		}
		So(c.Look("u", now.Add(1900*time.Millisecond)).Barred, ShouldBeTrue)
		So(c.Look("u", now.Add(2*time.Second)).Barred, ShouldBeFalse)
		c.Miss("u", now.Add(3*time.Second))
		c.Report("u", exchange.Load{}, true, now.Add(3*time.Second))
		So(c.Look("u", now.Add(3*time.Second)).Barred, ShouldBeFalse)
	})
}
