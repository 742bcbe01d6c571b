package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/fulmarhitch/fulmarhitch/budget"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/pool"
	"github.com/fulmarhitch/fulmarhitch/queue"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// DefaultLinkDelay is the one-way delay assumed between homes of different failure domains.
const DefaultLinkDelay = 5 * time.Millisecond

// Waiter is a ticket that waits for the decision of a Core. It is used for one decision.
type Waiter struct {
	Ticket Ticket
	// Value is for the caller's use; a Core does not read it.
	Value any

	item    queue.Item
	arrived time.Time
	// until is the time at which a waiter with NoWait is refused.
	until time.Time
}

// Flags whose sum is the lane of a waiter in the queue. Waiters of the same lane are blocked together. laneLong marks long
// requests, laneLocal those that must not be spilled, and laneRestricted those that may not use every upstream.
const (
	laneLong = 1 << iota
	laneLocal
	laneRestricted
)

// Core decides about the requests of one group. It does no I/O and is not safe for concurrent use. The times passed
// must not decrease. A Core calls grant for each waiter exactly once; grant returns false if the waiter gave up.
type Core struct {
	queue   *queue.Queue
	pool    *pool.Pool
	budget  *budget.Budget
	remotes map[string]*remote
	// groups holds the keys of remotes in the order of their first reports.
	groups []string
	// linkDelay is the one-way delay to other homes.
	linkDelay time.Duration
	grant     func(*Waiter, Grant) bool
	// noWait holds the waiters with NoWait in the order of their arrival. Some of them may already have been decided.
	noWait []*Waiter
	// spillRecheck is the time at which waiting requests may have waited long enough to be spilled.
	spillRecheck time.Time
}

// NewCore returns a Core without upstreams. linkDelay is the one-way delay to other homes, or 0 for
// DefaultLinkDelay.
func NewCore(linkDelay time.Duration, random *rand.Rand, grant func(*Waiter, Grant) bool) *Core {
	if linkDelay <= 0 {
		linkDelay = DefaultLinkDelay
	}
	return &Core{
		queue:     queue.New(1),
		pool:      pool.New(random),
		budget:    budget.New(0),
		remotes:   make(map[string]*remote),
		linkDelay: linkDelay,
		grant:     grant,
	}
}

// Update sets the service's rules and the group's upstreams.
func (c *Core) Update(svc declaration.Service, ups []declaration.Upstream, now time.Time) {
	for _, it := range c.queue.SetLimit(svc.QueueLength) {
		c.refuse(it, outcome.QueueFull)
	}
	c.budget.SetRatio(svc.RetryRatio)
	c.pool.SetLongShare(svc.LongShare)
	c.pool.Update(ups, now)
	c.schedule(now)
}

// Arrive decides about the waiter at once or queues it.
func (c *Core) Arrive(w *Waiter, now time.Time) {
	t := &w.Ticket
	switch {
	case t.Retry && !c.budget.Spend():
		c.grant(w, Refused{Reason: outcome.Refused})
		return
	case !t.Retry && t.Enqueued.IsZero():
		c.budget.Earn()
	}
	if t.Enqueued.IsZero() {
		t.Enqueued = now
	}
	w.arrived = now
	w.item = queue.Item{Request: t.Request, Enqueued: t.Enqueued, Lane: lane(t), Value: w}
	if displaced := c.queue.Push(&w.item); displaced != nil {
		c.refuse(displaced, outcome.QueueFull)
	}
	c.schedule(now)
	switch {
	case t.NoWait && c.queue.Queued(&w.item):
		w.until = now.Add(c.pool.Mean())
		c.noWait = append(c.noWait, w)
	case !c.pool.Usable() && c.queue.Remove(&w.item):
		c.grant(w, Refused{Reason: outcome.NoUpstream})
	}
}

// Withdraw removes a waiter whose caller gave up.
func (c *Core) Withdraw(w *Waiter) {
	c.queue.Remove(&w.item)
}

// Release frees the slot of an Assigned.
func (c *Core) Release(b Assigned, res Result, now time.Time) {
	service := res.ServiceTime
	if service <= 0 {
		service = now.Sub(b.granted)
	}
	class := res.Class
	if class == upstream.Refused && res.Load.Slots > 0 && res.Load.Running >= res.Load.Slots {
		class = upstream.Shed
	}
	c.pool.Release(b.slot, class, service, now)
	c.pool.ObserveResponse(b.slot, res.State)
	c.schedule(now)
}

// EndSpill ends a spill; refused reports whether the other home ran nothing because it had no free slot. Its group is
// then not tried again until a new report, so Report has to be called after EndSpill for the report of the same response.
func (c *Core) EndSpill(s Spill, refused bool, now time.Time) {
	if r := c.remotes[s.Group]; r != nil {
		r.end(s.sent, refused)
	}
	c.schedule(now)
}

// Observe records the state of an upstream as reported by a peer or a probe.
func (c *Core) Observe(name string, state State, now time.Time) {
	c.pool.Observe(name, state, now)
	c.schedule(now)
}

// Report records the load of another group's home; at is the time at which the report was made, by this VM's clock.
func (c *Core) Report(group string, free, waiting int, at, now time.Time) {
	r := c.remotes[group]
	if r == nil {
		r = &remote{}
		c.remotes[group] = r
		c.groups = append(c.groups, group)
	}
	r.report(free, waiting, at)
	c.schedule(now)
}

// Tick applies the decisions that are due because time has passed.
func (c *Core) Tick(now time.Time) { c.schedule(now) }

// expireNoWait refuses the waiters with NoWait whose time to wait has passed.
func (c *Core) expireNoWait(now time.Time) {
	for len(c.noWait) > 0 {
		w := c.noWait[0]
		if c.queue.Queued(&w.item) && w.until.After(now) {
			return
		}
		c.noWait = c.noWait[1:]
		if c.queue.Remove(&w.item) {
			c.grant(w, Refused{Reason: outcome.NoFreeSlot})
		}
	}
}

// Next returns the time after now at which Tick is due; ok is false if there is none.
func (c *Core) Next(now time.Time) (next time.Time, ok bool) {
	next, ok = c.pool.Next(now)
	if deadline, found := c.queue.Earliest(); found {
		// A request is dropped once its deadline can't be met, so the timer fires just after
		// the last time at which it could be.
		if t := deadline.Add(time.Microsecond - c.pool.Mean()); !ok || t.Before(next) {
			next, ok = t, true
		}
	}
	if c.spillRecheck.After(now) && (!ok || c.spillRecheck.Before(next)) {
		next, ok = c.spillRecheck, true
	}
	if len(c.noWait) > 0 && (!ok || c.noWait[0].until.Before(next)) {
		next, ok = c.noWait[0].until, true
	}
	return next, ok
}

// Load returns the free slots and the number of waiting requests.
func (c *Core) Load(now time.Time) (free, waiting int) {
	return c.pool.Free(now), c.queue.Len()
}

// schedule assigns waiting requests to free slots, drops expired ones and spills those that have to wait.
func (c *Core) schedule(now time.Time) {
	if c.queue.Len() == 0 {
		c.noWait = c.noWait[:0]
		c.spillRecheck = time.Time{}
		return
	}
	c.pool.SetWait(c.wait(now))
	for {
		var slot pool.Slot
		next, expired := c.queue.Pop(now, c.pool.Mean(), func(it *queue.Item) (ok bool) {
			t := &it.Value.(*Waiter).Ticket
			slot, ok = c.pool.Acquire(t.Request, t.Exclude, t.Suspect, now)
			return ok
		})
		for _, it := range expired {
			c.refuse(it, outcome.DeadlineUnreachable)
		}
		if next == nil {
			break
		}
		if !c.grant(next.Value.(*Waiter), Assigned{Upstream: slot.Upstream, slot: slot, granted: now}) {
			c.pool.Release(slot, upstream.Cancelled, 0, now)
		}
	}
	c.expireNoWait(now)
	c.spill(now)
}

// spill sends waiting requests to groups that may take more spills. A request that does not have to wait for long stays
// in the queue, because a slot of its own group becomes free sooner than the round trip of the link takes.
func (c *Core) spill(now time.Time) {
	for c.queue.Len() > 0 {
		congested := c.congested(now)
		group, r := c.target(congested)
		if r == nil {
			return
		}
		latest := now.Add(2*c.linkDelay + c.pool.Mean())
		next, _ := c.queue.Pop(now, 0, func(it *queue.Item) bool {
			w := it.Value.(*Waiter)
			t := &w.Ticket
			waited := congested || now.Sub(w.arrived) > c.linkDelay
			return waited && !t.NoSpill && !t.NoWait && !latest.After(t.Request.Deadline)
		})
		if next == nil {
			if !c.spillRecheck.After(now) {
				c.spillRecheck = now.Add(c.linkDelay + time.Microsecond)
			}
			return
		}
		if c.grant(next.Value.(*Waiter), Spill{Group: group, sent: now}) {
			r.sent = append(r.sent, now)
		}
	}
}

// congested reports whether the last waiting request has to wait longer than the round trip of a spill.
func (c *Core) congested(now time.Time) bool {
	return c.wait(now) > 2*c.linkDelay
}

// wait estimates how long the last waiting request has to wait for a slot.
func (c *Core) wait(now time.Time) time.Duration {
	return time.Duration(c.queue.Len()) * c.pool.Mean() / time.Duration(max(c.pool.Slots(now), 1))
}

// target returns the group that may take the most spills; best is nil if none may take any.
func (c *Core) target(congested bool) (group string, best *remote) {
	maxSpills := 0
	for _, g := range c.groups {
		if n := c.remotes[g].allowedSpills(c.linkDelay, congested); n > maxSpills {
			group, best, maxSpills = g, c.remotes[g], n
		}
	}
	return group, best
}

func (c *Core) refuse(it *queue.Item, reason outcome.Reason) {
	c.grant(it.Value.(*Waiter), Refused{Reason: reason})
}

// lane returns the lane of the ticket's waiter in the queue.
func lane(t *Ticket) int {
	n := 0
	if t.Request.Long {
		n |= laneLong
	}
	if t.NoSpill || t.NoWait {
		n |= laneLocal
	}
	if t.Suspect || t.Exclude != "" {
		n |= laneRestricted
	}
	return n
}
