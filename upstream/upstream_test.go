package upstream_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/upstream"
)

const ms = time.Millisecond

// TestHealth guards against an upstream that is used while failing, that is ejected while another home uses its slots,
// or that gets all its slots at once after an ejection.
func TestHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	serveOne := func(u *upstream.Upstream, c upstream.Class) {
		u.Start(false)
		u.Finish(c, false, ms, 8*ms, now)
	}
	for name, c := range map[string]struct {
		classes []upstream.Class
		wait    time.Duration
		ejected bool
		free    int
	}{
		"three failures eject":                       {[]upstream.Class{1, 2, 3}, 700 * ms, true, 3},
		"a success in between prevents it":           {[]upstream.Class{1, 1, 0, 1, 1}, 8 * ms, false, 3},
		"cancelled requests do not count":            {[]upstream.Class{7, 7, 7, 7}, 0, false, 3},
		"a failed request holds its slot":            {[]upstream.Class{1, 0}, 7 * ms, false, 2},
		"one slot after the ejection":                {[]upstream.Class{1, 1, 1}, 1300 * ms, false, 1},
		"timeouts eject and hold no slot":            {[]upstream.Class{6, 6, 6}, 0, true, 3},
		"a full upstream is not ejected":             {[]upstream.Class{8, 8, 8}, 9 * ms, false, 1},
		"one that only claims to be full is ejected": {slices.Repeat([]upstream.Class{8}, upstream.ShedLimit+upstream.EjectAfter-1), 700 * ms, true, 1},
		"an ejection is not extended":                {[]upstream.Class{1, 1, 1, 1, 1}, 1300 * ms, false, 1},
	} {
		Convey(name, t, func() {
			u := upstream.New(3, false, rand.New(rand.NewPCG(1, 2)))
			for _, class := range c.classes {
				serveOne(u, class)
			}
			at := now.Add(c.wait)
			So(u.Ejected(at), ShouldEqual, c.ejected)
			// A time in the past would make the owner's timer fire again and again.
			if next, ok := u.Next(at); ok {
				So(next, ShouldHappenAfter, at)
			}
			So(u.Free(at), ShouldEqual, c.free)
		})
	}
	Convey("a failed trial doubles the back-off and successes add slots", t, func() {
		u := upstream.New(3, false, rand.New(rand.NewPCG(1, 2)))
		for range 3 {
			serveOne(u, upstream.Lost)
		}
		now = now.Add(1300 * ms)
		So(u.Ejected(now), ShouldBeFalse)
		serveOne(u, upstream.Lost)
		So(u.Ejected(now.Add(1400*ms)), ShouldBeTrue)
		now = now.Add(2600 * ms)
		So(u.Ejected(now), ShouldBeFalse)
		for i := range 8 {
			So(u.Free(now), ShouldEqual, 1+i/4)
			serveOne(u, upstream.Answered)
		}
		So(u.Free(now), ShouldEqual, 3)
	})
	Convey("a drain is not ended by a late response", t, func() {
		u := upstream.New(3, false, rand.New(rand.NewPCG(1, 2)))
		u.ObserveResponse(upstream.Draining)
		u.ObserveResponse(upstream.Ready)
		So(u.Leaving(), ShouldBeTrue)
		u.Observe(upstream.Ready, now)
		So(u.Leaving(), ShouldBeFalse)
		So(u.Free(now), ShouldEqual, 1)
	})
}
