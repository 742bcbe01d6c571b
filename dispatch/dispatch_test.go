package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/dispatch"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

const ms = time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a dispatcher with the number of upstreams, of one slot each, until stop is called.
func start(upstreams int) (d *dispatch.Dispatcher, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	d = dispatch.New("roses/east", dispatch.Options{Seed: 1})
	wait.Go(func() { _ = d.Run(ctx) })
	var ups []declaration.Upstream
	for i := range upstreams {
		ups = append(ups, declaration.Upstream{Name: fmt.Sprint("u", i), Slots: 1})
	}
	d.Update(declaration.Service{QueueLength: 100, RetryRatio: 0.2, LongShare: 0.5}, ups)
	return d, func() { cancel(); wait.Wait() }
}

func ticket(left time.Duration) dispatch.Ticket {
	return dispatch.Ticket{Request: &request.Request{Idempotent: true, Deadline: time.Now().Add(left)}}
}

// TestGrants guards against requests dropped too late, spills that another group can't take and slots lost to callers
// that gave up.
func TestGrants(t *testing.T) {
	for name, check := range map[string]func(ctx context.Context, d *dispatch.Dispatcher, held dispatch.Assigned){
		"a request is dropped when its deadline can't be met": func(ctx context.Context, d *dispatch.Dispatcher, _ dispatch.Assigned) {
			began := time.Now()
			So(d.Acquire(ctx, ticket(50*ms)), ShouldResemble, dispatch.Refused{Reason: outcome.DeadlineUnreachable})
			So(time.Since(began), ShouldAlmostEqual, 40*ms, ms)
		},
		"a spilled request waits for the mean service time at most": func(ctx context.Context, d *dispatch.Dispatcher, held dispatch.Assigned) {
			began := time.Now()
			tk := ticket(time.Second)
			tk.NoWait = true
			So(d.Acquire(ctx, tk), ShouldResemble, dispatch.Refused{Reason: outcome.NoFreeSlot})
			So(time.Since(began), ShouldEqual, 10*ms)
			time.AfterFunc(5*ms, func() { d.Release(held, dispatch.Result{}) })
			So(d.Acquire(ctx, tk), ShouldHaveSameTypeAs, dispatch.Assigned{})
		},
		"a congested group spills without a report of free slots, and less after refusals": func(ctx context.Context, d *dispatch.Dispatcher, _ dispatch.Assigned) {
			d.Report("roses/west", 0, 9, time.Now())
			var spills atomic.Int32
			var wait sync.WaitGroup
			for range 8 {
				// Each of these waits for the only slot.
				wait.Go(func() {
					if s, ok := d.Acquire(ctx, ticket(200*ms)).(dispatch.Spill); ok {
						spills.Add(1)
						time.Sleep(50 * ms)
						d.EndSpill(s, true)
					}
				})
			}
			synctest.Wait()
			So(spills.Load(), ShouldEqual, 1)
			wait.Wait()
			So(spills.Load(), ShouldBeBetween, 1, 5)
		},
		"a retry without budget is refused": func(ctx context.Context, d *dispatch.Dispatcher, _ dispatch.Assigned) {
			tk := ticket(time.Second)
			tk.Retry = true
			So(d.Acquire(ctx, tk), ShouldResemble, dispatch.Refused{Reason: outcome.Refused})
		},
		"a spill begins after the delay of the link and ends as refused": func(ctx context.Context, d *dispatch.Dispatcher, held dispatch.Assigned) {
			d.Report("roses/west", 1, 0, time.Now())
			began := time.Now()
			s, ok := d.Acquire(ctx, ticket(time.Second)).(dispatch.Spill)
			So(ok, ShouldBeTrue)
			So(time.Since(began), ShouldAlmostEqual, dispatch.DefaultLinkDelay, ms)
			So(s.Group, ShouldEqual, "roses/west")
			d.EndSpill(s, true)
			time.AfterFunc(20*ms, func() { d.Release(held, dispatch.Result{}) })
			So(d.Acquire(ctx, ticket(time.Second)), ShouldHaveSameTypeAs, dispatch.Assigned{})
		},
		"a spill needs time for the round trip": func(ctx context.Context, d *dispatch.Dispatcher, _ dispatch.Assigned) {
			d.Report("roses/west", 1, 0, time.Now())
			So(d.Acquire(ctx, ticket(15*ms)), ShouldHaveSameTypeAs, dispatch.Refused{})
		},
		"a withdrawn request takes no slot": func(ctx context.Context, d *dispatch.Dispatcher, held dispatch.Assigned) {
			short, cancel := context.WithTimeout(ctx, 10*ms)
			defer cancel()
			So(d.Acquire(short, ticket(time.Second)), ShouldHaveSameTypeAs, dispatch.Refused{})
			synctest.Wait()
			_, waiting := d.Load()
			So(waiting, ShouldEqual, 0)
			d.Release(held, dispatch.Result{})
			synctest.Wait()
			free, _ := d.Load()
			So(free, ShouldEqual, 1)
		},
		"a failed request's slot becomes free without an event": func(ctx context.Context, d *dispatch.Dispatcher, held dispatch.Assigned) {
			began := time.Now()
			d.Release(held, dispatch.Result{Class: 1})
			So(d.Acquire(ctx, ticket(time.Second)), ShouldHaveSameTypeAs, dispatch.Assigned{})
			So(time.Since(began), ShouldEqual, 10*ms)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				d, stop := start(1)
				defer stop()
				synctest.Wait()
				held, ok := d.Acquire(t.Context(), ticket(time.Second)).(dispatch.Assigned)
				So(ok, ShouldBeTrue)
				check(t.Context(), d, held)
			})
		})
	}
}

// TestFirstUpdate guards against requests refused because they overtake the first Update.
func TestFirstUpdate(t *testing.T) {
	Convey("a request right after the first update gets a slot", t, func() {
		for range 100 {
			d, stop := start(1)
			g := d.Acquire(t.Context(), ticket(time.Minute))
			stop()
			So(g, ShouldHaveSameTypeAs, dispatch.Assigned{})
		}
	})
}

// TestFirstState guards against a new home that assigns requests to an upstream already reported as draining.
func TestFirstState(t *testing.T) {
	Convey("a request that waits for the first update gets no draining upstream", t, func() {
		for range 100 {
			var name string
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := dispatch.New("roses/east", dispatch.Options{Seed: 1})
				d.Update(declaration.Service{QueueLength: 100}, []declaration.Upstream{{Name: "u1", Slots: 1}, {Name: "u0", Slots: 9}})
				d.Observe("u0", upstream.Draining)
				go func() {
					name = d.Acquire(ctx, ticket(time.Minute)).(dispatch.Assigned).Upstream.Name
					cancel()
				}()
				synctest.Wait()
				_ = d.Run(ctx)
			})
			So(name, ShouldEqual, "u1")
		}
	})
}

// TestGiveUp guards against slots lost or given twice when callers give up at the moment of the grant.
func TestGiveUp(t *testing.T) {
	Convey("all slots are free after many callers gave up", t, func() {
		d, stop := start(4)
		defer stop()
		var wait sync.WaitGroup
		for i := range 400 {
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%40)*50*time.Microsecond)
				defer cancel()
				if b, ok := d.Acquire(ctx, ticket(time.Minute)).(dispatch.Assigned); ok {
					time.Sleep(200 * time.Microsecond)
					d.Release(b, dispatch.Result{})
				}
			})
		}
		wait.Wait()
		free, waiting := 0, 0
		for range 1000 {
			if free, waiting = d.Load(); free == 4 && waiting == 0 {
				break
			}
			time.Sleep(ms)
		}
		So(free, ShouldEqual, 4)
		So(waiting, ShouldEqual, 0)
	})
}

// BenchmarkAcquire measures Acquire and Release of callers that find a free slot.
func BenchmarkAcquire(b *testing.B) {
	d, stop := start(20)
	defer stop()
	tk := ticket(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		d.Release(d.Acquire(b.Context(), tk).(dispatch.Assigned), dispatch.Result{})
	}
}

// BenchmarkCallers measures Acquire and Release of many callers at once.
func BenchmarkCallers(b *testing.B) {
	d, stop := start(20)
	defer stop()
	tk := ticket(time.Hour)
	b.ReportAllocs()
	b.SetParallelism(10)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			d.Release(d.Acquire(context.Background(), tk).(dispatch.Assigned), dispatch.Result{})
		}
	})
}
