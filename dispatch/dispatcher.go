package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/ring"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// ringSize is the number of events that each ring of a dispatcher holds. Callers block when a ring is full. An entry VM
// may run the dispatchers of more than 1,000 groups, so the rings are small and hold pointers.
const ringSize = 128

// Options are the settings of a Dispatcher; the zero value is usable.
type Options struct {
	// LinkDelay is the one-way delay to other homes; 0 stands for DefaultLinkDelay.
	LinkDelay time.Duration
	// Seed seeds the random numbers that break ties and jitter back-offs.
	Seed uint64
}

// Dispatcher runs the Core of one group at the home of the group. Its methods are safe for concurrent use.
type Dispatcher struct {
	group string
	core  *Core
	// ready is set by the first Update.
	ready    bool
	arrivals *ring.Ring[*Waiter]
	releases *ring.Ring[*release]
	controls *ring.Ring[func(now time.Time)]
	done     chan struct{}
	// load holds the free slots in the high and the waiting requests in the low 32 bits.
	load atomic.Uint64
}

type release struct {
	assigned Assigned
	result   Result
}

// call is the state of a caller that waits in Acquire.
type call struct {
	state atomic.Int32
	grant chan Grant
}

// States of a call. The dispatcher and the caller both try to change it from pending, and exactly one succeeds.
const (
	pending int32 = iota
	decided
	withdrawn
)

// New returns a dispatcher for the group. Run has to be called exactly once.
func New(group string, o Options) *Dispatcher {
	d := &Dispatcher{
		group:    group,
		arrivals: ring.New[*Waiter](ringSize),
		releases: ring.New[*release](ringSize),
		controls: ring.New[func(time.Time)](ringSize),
		done:     make(chan struct{}),
	}
	random := rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(group)))
	d.core = NewCore(o.LinkDelay, random, deliver)
	return d
}

// Group returns the identifier of the group.
func (d *Dispatcher) Group() string { return d.group }

// Run makes the decisions until ctx is done and returns its error. Calls of Acquire that still wait are then refused.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var armed time.Time
	for {
		// Arrivals wait for the first Update, without which all would be refused.
		var arrivals <-chan *Waiter
		if d.ready {
			arrivals = d.arrivals.Items()
		}
		var now time.Time
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "dispatch: group %s", d.group)
		case w := <-arrivals:
			now = time.Now()
			// Control events sent before the arrival are applied first. Otherwise a new home would assign requests to an
			// upstream that was already reported as leaving.
			for range d.controls.Len() {
				(<-d.controls.Items())(now)
			}
			if w.Value.(*call).state.Load() == pending {
				d.core.Arrive(w, now)
			}
		case r := <-d.releases.Items():
			now = time.Now()
			d.core.Release(r.assigned, r.result, now)
		case f := <-d.controls.Items():
			now = time.Now()
			f(now)
		case <-timer.C:
			now = time.Now()
			armed = time.Time{}
			d.core.Tick(now)
		}
		d.publish(now)
		// The timer is reset only to an earlier time. A timer that fires too early costs just one extra tick.
		if next, ok := d.core.Next(now); ok && (armed.IsZero() || next.Before(armed)) {
			armed = next
			timer.Reset(next.Sub(now))
		}
	}
}

// Update sets the service's rules and the group's upstreams. Calls of Acquire wait for the first Update.
func (d *Dispatcher) Update(svc declaration.Service, ups []declaration.Upstream) {
	d.control(func(now time.Time) {
		d.ready = true
		d.core.Update(svc, ups, now)
	})
}

// Acquire waits for the decision about the ticket. The caller has to pass an Assigned to Release and a Spill to EndSpill.
// If ctx ends first, Acquire withdraws the ticket and returns Refused.
func (d *Dispatcher) Acquire(ctx context.Context, t Ticket) Grant {
	c := &call{grant: make(chan Grant, 1)}
	w := &Waiter{Ticket: t, Value: c}
	if !d.arrivals.Put(d.done, w) {
		return Refused{Reason: outcome.NotReady}
	}
	select {
	case g := <-c.grant:
		return g
	case <-d.done:
		return Refused{Reason: outcome.NotReady}
	case <-ctx.Done():
	}
	if c.state.CompareAndSwap(pending, withdrawn) {
		d.control(func(time.Time) { d.core.Withdraw(w) })
	} else {
		d.returnGrant(<-c.grant)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Refused{Reason: outcome.DeadlineUnreachable}
	}
	return Refused{Reason: outcome.Cancelled}
}

// Release frees the slot of an Assigned.
func (d *Dispatcher) Release(b Assigned, res Result) {
	d.releases.Put(d.done, &release{assigned: b, result: res})
}

// EndSpill ends a spill; refused reports whether the other home had no free slot and ran nothing. It has to be called
// before the Report of the same response.
func (d *Dispatcher) EndSpill(s Spill, refused bool) {
	d.control(func(now time.Time) { d.core.EndSpill(s, refused, now) })
}

// Observe records the state of an upstream as reported by a peer or a probe.
func (d *Dispatcher) Observe(name string, state State) {
	d.control(func(now time.Time) { d.core.Observe(name, state, now) })
}

// Report records the load of another group's home; at is the time at which the report was made, by this VM's clock.
func (d *Dispatcher) Report(group string, free, waiting int, at time.Time) {
	d.control(func(now time.Time) { d.core.Report(group, free, waiting, at, now) })
}

// Load returns the free slots and the number of waiting requests after the last event.
func (d *Dispatcher) Load() (free, waiting int) {
	n := d.load.Load()
	return int(n >> 32), int(uint32(n))
}

// control makes Run call f.
func (d *Dispatcher) control(f func(now time.Time)) {
	d.controls.Put(d.done, f)
}

// publish makes the present load available to Load.
func (d *Dispatcher) publish(now time.Time) {
	free, waiting := d.core.Load(now)
	d.load.Store(uint64(free)<<32 | uint64(uint32(waiting)))
}

// returnGrant returns a grant whose caller has given up.
func (d *Dispatcher) returnGrant(g Grant) {
	switch g := g.(type) {
	case Assigned:
		d.Release(g, Result{Class: upstream.Cancelled})
	case Spill:
		d.EndSpill(g, false)
	case Refused:
	}
}

// deliver passes the grant to the caller and reports whether the caller still waited for it.
func deliver(w *Waiter, g Grant) bool {
	c := w.Value.(*call)
	if !c.state.CompareAndSwap(pending, decided) {
		return false
	}
	c.grant <- g
	return true
}
