package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/pool"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

const ms = time.Millisecond

var now = time.Unix(1000, 0)

func newPool(n int) *pool.Pool {
	p := pool.New(rand.New(rand.NewPCG(1, 2)))
	var ups []declaration.Upstream
	for i := range n {
		ups = append(ups, declaration.Upstream{Name: fmt.Sprint("u", i), Slots: 2})
	}
	p.Update(ups, now)
	return p
}

// acquireAll acquires slots until the pool refuses and counts those of each upstream. It does so at half a second after
// now, when no slot is held for a failed request any more and no ejection has ended yet.
func acquireAll(p *pool.Pool, r *request.Request, exclude string, suspect bool) map[string]int {
	got := make(map[string]int)
	for {
		s, ok := p.Acquire(r, exclude, suspect, now.Add(500*ms))
		if !ok {
			return got
		}
		got[s.Upstream.Name]++
	}
}

// serve runs rounds of requests on all slots at once, with the given class and service time of each upstream.
func serve(p *pool.Pool, rounds int, class map[string]upstream.Class, service map[string]time.Duration) {
	for i := range rounds {
		at := now.Add(time.Duration(i) * 20 * ms)
		var slots []pool.Slot
		for s, ok := p.Acquire(&request.Request{}, "", false, at); ok; s, ok = p.Acquire(&request.Request{}, "", false, at) {
			slots = append(slots, s)
		}
		for _, s := range slots {
			p.Release(s, class[s.Upstream.Name], max(service[s.Upstream.Name], 8*ms), at)
		}
	}
}

// TestAcquire guards against slots granted against the rules for health, long requests and suspects.
func TestAcquire(t *testing.T) {
	for name, c := range map[string]struct {
		class   map[string]upstream.Class
		service map[string]time.Duration
		request request.Request
		exclude string
		suspect bool
		share   float64
		want    map[string]int
	}{
		"all slots":                                 {want: map[string]int{"u0": 2, "u1": 2, "u2": 2}, share: 1},
		"an excluded upstream":                      {want: map[string]int{"u0": 2, "u2": 2}, share: 1, exclude: "u1"},
		"one suspect each":                          {want: map[string]int{"u0": 1, "u1": 1, "u2": 1}, share: 1, suspect: true},
		"a slow one keeps one slot":                 {want: map[string]int{"u0": 2, "u1": 1, "u2": 2}, share: 1, service: map[string]time.Duration{"u1": 80 * ms}},
		"an ejected one gets none":                  {want: map[string]int{"u0": 2, "u2": 2}, share: 1, class: map[string]upstream.Class{"u1": upstream.Unsent}},
		"ejections are ignored if most are ejected": {want: map[string]int{"u0": 2, "u1": 2, "u2": 2}, share: 1, class: map[string]upstream.Class{"u1": upstream.Died, "u0": upstream.Died}},
	} {
		Convey(name, t, func() {
			p := newPool(3)
			p.SetLongShare(c.share)
			serve(p, 8, c.class, c.service)
			So(acquireAll(p, &c.request, c.exclude, c.suspect), ShouldResemble, c.want)
		})
	}
	Convey("a slow upstream is passed over for a while, unless the wait is longer or it is the only one left", t, func() {
		p := newPool(2)
		serve(p, 8, nil, map[string]time.Duration{"u0": 80 * ms})
		at := now.Add(200 * ms)
		for exclude, want := range map[string][2]bool{"": {false, true}, "u1": {true, true}} {
			p.SetWait(0)
			var slots []pool.Slot
			for s, ok := p.Acquire(&request.Request{}, exclude, false, at); ok; s, ok = p.Acquire(&request.Request{}, exclude, false, at) {
				slots = append(slots, s)
			}
			slow := slices.ContainsFunc(slots, func(s pool.Slot) bool { return s.Upstream.Name == "u0" })
			So(slow, ShouldEqual, want[0])
			p.SetWait(time.Second)
			_, ok := p.Acquire(&request.Request{}, exclude, false, at)
			So(slow || ok, ShouldEqual, want[1])
			p = newPool(2)
			serve(p, 8, nil, map[string]time.Duration{"u0": 80 * ms})
		}
	})
	Convey("a disturbed upstream is passed over if the wait is short, but one with a single straggler is not", t, func() {
		for _, c := range []struct {
			service, age, wait time.Duration
			want               bool
		}{
			{service: 40 * ms, age: 40 * ms, want: false},
			{service: 40 * ms, age: 40 * ms, wait: 20 * ms, want: true},
			{service: 8 * ms, age: 400 * ms, want: true},
		} {
			p := newPool(2)
			serve(p, 20, nil, nil)
			at := now.Add(450 * ms)
			for i, exclude := range []string{"u1", "u1", "u0", "u0"} {
				s, _ := p.Acquire(&request.Request{}, exclude, false, at)
				switch i {
				case 0:
					// This request keeps running.
				case 1:
					p.Release(s, upstream.Answered, c.service, at.Add(c.service))
				default:
					p.Release(s, upstream.Answered, 8*ms, at.Add(8*ms))
				}
			}
			for range 2 {
				p.Acquire(&request.Request{}, "u0", false, at.Add(c.age))
			}
			p.SetWait(c.wait)
			_, ok := p.Acquire(&request.Request{}, "", false, at.Add(c.age))
			So(ok, ShouldEqual, c.want)
		}
	})
	Convey("long requests hold their share of the slots only", t, func() {
		p := newPool(3)
		p.SetLongShare(0.5)
		long := acquireAll(p, &request.Request{Long: true}, "", false)
		So(long["u0"]+long["u1"]+long["u2"], ShouldEqual, 3)
		So(p.Free(now), ShouldEqual, 3)
	})
	Convey("the faster of two free upstreams is chosen", t, func() {
		p := newPool(2)
		serve(p, 8, nil, map[string]time.Duration{"u0": 16 * ms})
		s, ok := p.Acquire(&request.Request{}, "", false, now)
		So(ok, ShouldBeTrue)
		So(s.Upstream.Name, ShouldEqual, "u1")
	})
}

// TestMostEjected guards against requests that go to two dead upstreams of three in a row while the third one answers.
func TestMostEjected(t *testing.T) {
	for name, c := range map[string]struct {
		class    upstream.Class
		exclude  string
		requests int
		want     []string
	}{
		"the others come first":                                                 {upstream.Lost, "", 2, []string{"u2", "u2"}},
		"ejected ones take what the others can't":                               {upstream.Lost, "", 3, []string{"u2", "u2", "u0"}},
		"unreachable ones get nothing":                                          {upstream.Unsent, "", 3, []string{"u2", "u2"}},
		"a retry waits for one that is not ejected":                             {upstream.Lost, "u0", 4, []string{"u2", "u2"}},
		"a retry uses ejected ones if all but the excluded one are ejected":     {upstream.Lost, "u2", 2, []string{"u0", "u0"}},
		"a retry uses unreachable ones if all but the excluded one are ejected": {upstream.Unsent, "u2", 2, []string{"u0", "u0"}},
	} {
		Convey(name, t, func() {
			p := newPool(3)
			serve(p, 3, map[string]upstream.Class{"u0": c.class, "u1": c.class}, nil)
			var got []string
			for range c.requests {
				s, ok := p.Acquire(&request.Request{}, c.exclude, false, now.Add(500*ms))
				if !ok {
					break
				}
				// The choice between the two ejected upstreams is random.
				got = append(got, strings.Replace(s.Upstream.Name, "u1", "u0", 1))
			}
			So(got, ShouldResemble, c.want)
		})
	}
}
