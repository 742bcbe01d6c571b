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
		table := condition.New()
		table.Begin("u", now)
		table.Begin("u", now)
		So(table.Get("u", now).OwnSinceReport, ShouldEqual, 2)
		table.Report("u", exchange.Load{Running: 2, Slots: 3}, true, now)
		So(table.Get("u", now).OwnSinceReport, ShouldEqual, 0)
		table.Begin("u", now)
		So(table.Get("u", now).OwnSinceReport, ShouldEqual, 1)
		for range 3 {
			table.End("u", false, now)
		}
		So(table.Get("u", now).OwnSinceReport, ShouldEqual, 0)
	})
}

// TestFailureRate guards against a failure rate that never falls and one that falls at once.
func TestFailureRate(t *testing.T) {
	tests := map[string]struct {
		failed   []bool
		wait     time.Duration
		min, max float64
	}{
		"no failure":               {[]bool{false, false}, 0, 0, 0.001},
		"one failure":              {[]bool{true}, 0, 0.3, 0.4},
		"consecutive failures":     {[]bool{true, true, true, true}, 0, 0.75, 1},
		"failures long ago":        {[]bool{true, true, true}, 20 * time.Second, 0, 0.05},
		"successes after failures": {[]bool{true, true, false, false, false, false}, 0, 0, 0.2},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			now := time.Unix(100, 0)
			table := condition.New()
			for _, failed := range test.failed {
				table.Begin("u", now)
				table.End("u", failed, now)
			}
			So(table.Get("u", now.Add(test.wait)).FailureRate, ShouldBeBetweenOrEqual, test.min, test.max)
		})
	}
}

// TestUnreachable guards against an upstream that is polled again at once, or never again, after it could not be reached.
func TestUnreachable(t *testing.T) {
	Convey("Given an upstream that can't be reached", t, func() {
		now := time.Unix(100, 0)
		table := condition.New()
		table.RecordUnreachable("u", now)
		So(table.Get("u", now).Unreachable, ShouldBeTrue)
		So(table.Get("u", now.Add(400*time.Millisecond)).Unreachable, ShouldBeFalse)
		for range 9 {
			now = now.Add(5 * time.Second)
			table.RecordUnreachable("u", now)
		}
		So(table.Get("u", now.Add(1900*time.Millisecond)).Unreachable, ShouldBeTrue)
		So(table.Get("u", now.Add(2*time.Second)).Unreachable, ShouldBeFalse)
		table.RecordUnreachable("u", now.Add(3*time.Second))
		table.Report("u", exchange.Load{}, true, now.Add(3*time.Second))
		So(table.Get("u", now.Add(3*time.Second)).Unreachable, ShouldBeFalse)
	})
}
