package gctune

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPercent guards against a heap that grows beyond the goal by more than it would with the runtime's default.
func TestPercent(t *testing.T) {
	cases := map[string]struct {
		live, goal uint64
		want       int
	}{
		"empty":      {0, 48, 400},
		"small":      {5, 48, 400},
		"a third":    {16, 48, 200},
		"a half":     {24, 48, 100},
		"most":       {47, 48, 100},
		"goal":       {48, 48, 100},
		"above goal": {100, 48, 100},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			So(percent(c.live, c.goal), ShouldEqual, c.want)
		})
	}
}

// TestTuner guards against a percentage that stays high when the live heap grows.
func TestTuner(t *testing.T) {
	Convey("Given a small heap and then one above the goal", t, func() {
		before := debug.SetGCPercent(minPercent)
		defer debug.SetGCPercent(before)
		tuner := New(32 << 20)
		defer tuner.Stop()
		collectUntil(maxPercent)
		live := make([]byte, 64<<20)
		collectUntil(minPercent)
		runtime.KeepAlive(live)
	})
}

// collectUntil runs collections until the percentage is want; if it never is, the timeout of the test ends the loop.
func collectUntil(want int) {
	for {
		runtime.GC()
		time.Sleep(time.Millisecond)
		if now := debug.SetGCPercent(want); now == want {
			return
		} else {
			debug.SetGCPercent(now)
		}
	}
}
