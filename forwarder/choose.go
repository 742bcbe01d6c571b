package forwarder

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/selection"
)

const (
	// samples is the number of upstreams that are asked before a choice. With a third of the hosts disturbed, four
	// upstreams have a calm one among them 99 times in 100.
	samples = 4
	// nearPatience is the wait for answers within the failure domain, whose round trips take less than 1 ms.
	nearPatience = 6 * time.Millisecond
	// farPatience is the wait for answers from other failure domains, whose round trips take about 11 ms.
	farPatience = 25 * time.Millisecond
	// poorCost is the cost in usual service times above which upstreams of other failure domains are looked at too;
	// answers then come late by most rules.
	poorCost = 2.2
	// subsetSize is the number of upstreams of a service in the failure domain that a VM uses. It holds enough to find a
	// calm one while some have failed.
	subsetSize = 16
	// pollInterval is the time between two looks for a free upstream by a waiting request.
	pollInterval = 12 * time.Millisecond
	// inTime is the share of a rule's target by which an expected end counts as in time.
	inTime = 0.9
	// farEvery is the number of looks of a waiting request of which one goes to other failure domains.
	farEvery = 3
)

// choice is the upstream chosen, with its cost.
type choice struct {
	selection.Candidate
	// cost ranks it, and time is the expected time of the request there, both in usual service times.
	cost, time float64
}

// acquire waits for an upstream that is expected to answer in time, and returns it or the reason why there is none.
//
// Waiting here keeps the queues of the upstreams short: a request that waits there can neither go to an upstream that
// becomes free nor make room for a more urgent one. A request that can't be in time any more takes a free slot of a slow
// upstream, which others pass over, or is refused.
func (r *run) acquire(ctx context.Context) (*choice, outcome.Outcome) {
	usual := r.config.Times.Usual(r.job.Rule)
	target := r.target()
	for look := 0; ; look++ {
		c := r.choose(look%farEvery == 0)
		waited := time.Since(r.job.Arrived)
		late := waited+usual > target
		switch {
		case c == nil && late:
			return nil, outcome.NotRun{Reason: outcome.NoUpstream}
		case c == nil:
		case waited+time.Duration(c.time*float64(usual)) <= target && r.mayTake(c):
			return c, nil
		case late && selection.Free(c.Candidate) > 0:
			return c, nil
		case late:
			return nil, outcome.NotRun{Reason: outcome.QueueFull}
		}
		r.config.Pressure.Add(r.job.Request.Service, r.job.Rule.Priority, time.Now())
		if !backoff.Sleep(ctx, pollInterval/2+rand.N(pollInterval)) {
			return nil, outcome.NotRun{Reason: outcome.Cancelled}
		}
	}
}

// mayTake tells whether the request may take the upstream's slot. While more urgent requests find no room, it has to leave
// one free.
func (r *run) mayTake(c *choice) bool {
	return selection.Free(c.Candidate) > 1 || !r.config.Pressure.Above(r.job.Request.Service, r.job.Rule.Priority, time.Now())
}

// target returns the time since the arrival by which an answer counts as in time.
func (r *run) target() time.Duration {
	left := r.job.Request.Deadline.Sub(r.job.Arrived)
	if r.job.Rule.Target <= 0 {
		return left
	}
	return min(time.Duration(inTime*float64(r.job.Rule.Target)), left)
}

// choose returns the best upstream that this request hasn't been sent to, or nil if there is none.
func (r *run) choose(mayCross bool) *choice {
	near, far := r.candidates()
	best := r.best(nil, r.subset(near), true, nearPatience)
	if mayCross && (best == nil || best.cost > poorCost) {
		best = r.best(best, far, false, farPatience)
	}
	return best
}

// subset returns the upstreams that this VM prefers among many: the same ones each time, others than most other VMs
// prefer. A VM that used all would need a connection to each, and few of them would be used again before they close.
func (r *run) subset(all []roster.Upstream) []roster.Upstream {
	if len(all) <= subsetSize {
		return all
	}
	type ranked struct {
		upstream roster.Upstream
		hash     uint64
	}
	list := make([]ranked, len(all))
	for i, u := range all {
		list[i] = ranked{u, xxhash.Sum64String(r.config.VM + " " + u.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	some := make([]roster.Upstream, subsetSize)
	for i := range some {
		some[i] = list[i].upstream
	}
	return some
}

// candidates returns the service's upstreams that were not tried yet, by failure domain.
func (r *run) candidates() (near, far []roster.Upstream) {
	for _, u := range r.config.Roster.Usable(r.job.Request.Service) {
		tried := slices.ContainsFunc(r.attempts, func(a Attempt) bool { return a.Upstream.ID == u.ID })
		switch {
		case tried:
		case u.FailureDomain == r.config.FailureDomain:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	return near, far
}

// best returns the better of the choice and the best of some of the upstreams after they have been asked.
func (r *run) best(than *choice, all []roster.Upstream, near bool, patience time.Duration) *choice {
	some := r.draw(all, near)
	if left := time.Until(r.job.Request.Deadline); left < patience {
		patience = max(left, 0)
	}
	r.config.Sampler.Ask(some, r.job.Health, patience)
	// An upstream may have left while it was asked.
	some = slices.DeleteFunc(some, func(u roster.Upstream) bool { return !r.config.Roster.IsUsable(u) })
	now := time.Now()
	list := r.look(some, near, now)
	i, cost := selection.Best(list, now)
	if i < 0 || than != nil && than.cost <= cost {
		return than
	}
	return &choice{Candidate: list[i], cost: cost, time: selection.Time(list[i], now)}
}

// look returns the upstreams with what is known of them.
func (r *run) look(ups []roster.Upstream, near bool, now time.Time) []selection.Candidate {
	list := make([]selection.Candidate, len(ups))
	for i, u := range ups {
		list[i] = selection.Candidate{Upstream: u, Condition: r.config.Conditions.Look(u.ID, now), Near: near}
	}
	return list
}

// draw returns the upstreams to ask: those that look best by what is known, and one at random. What is known is old, but
// a host that was disturbed a short time ago is likely to be disturbed still.
func (r *run) draw(all []roster.Upstream, near bool) []roster.Upstream {
	if len(all) <= samples {
		return slices.Clone(all)
	}
	now := time.Now()
	type ranked struct {
		upstream roster.Upstream
		cost     float64
	}
	list := make([]ranked, len(all))
	for i, c := range r.look(all, near, now) {
		list[i] = ranked{c.Upstream, selection.Cost(c, now)}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	// The last one stays where the shuffle put it.
	slices.SortStableFunc(list[:len(list)-1], func(a, b ranked) int { return cmp.Compare(a.cost, b.cost) })
	some := []roster.Upstream{list[len(list)-1].upstream}
	for _, l := range list[:samples-1] {
		some = append(some, l.upstream)
	}
	return some
}
