package forwarder

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarhitch/fulmarhitch/admission"
	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/domaincost"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/quota"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/scarcity"
	"github.com/fulmarhitch/fulmarhitch/selection"
)

const (
	// sampleSize is the number of upstreams that are polled before a choice. With a third of the hosts slowed down, four
	// upstreams include one at normal speed 99 times in 100.
	sampleSize = 4
	// nearPollWait bounds the wait for answers to polls within the failure domain, whose round trips take less than 1 ms.
	nearPollWait = 6 * time.Millisecond
	// connectWait is added to the wait for polls that need a new connection. Without it, a VM that has just started, or whose
	// connections have expired, takes its own failure domain for slow and polls the others too.
	connectWait = 8 * time.Millisecond
	// farPollWait bounds the wait for answers to polls of other failure domains, whose round trips take about 11 ms.
	farPollWait = 25 * time.Millisecond
	// acceptableCost is the cost, in usual service times, above which upstreams of other failure domains are considered
	// too. An upstream with its last slot free costs more.
	acceptableCost = 1.5
	// SubsetSize is the number of upstreams of a service in the failure domain that a VM uses. It is large enough to find
	// one at normal speed while some have failed.
	SubsetSize = 16
	// selectionInterval is the mean time between two rounds of selection for a waiting request.
	selectionInterval = 12 * time.Millisecond
	// targetShare is the share of a rule's target time within which an expected answer counts as in time.
	targetShare = 0.9
	// roundsPerFar is the number of selection rounds of a waiting request of which one includes other failure domains.
	roundsPerFar = 3
	// largeExchange is the size of a request and its usual answer in bytes above which they leave the failure domain only to be in
	// time.
	largeExchange = 16 << 10
	// connectionCost is the cost of an upstream without an open connection when the upstreams to poll are selected, in usual
	// service times. It outweighs a report of a slow host once that is older than 400 ms.
	connectionCost = 1.0
	// exploreShare is the share of samples whose random upstream may be one without an open connection.
	exploreShare = 0.1
	// returnShare is the share of the time that a caller has left for which it waits before it returns after a refusal.
	returnShare = 1.0 / 3
	// maxFailureRate is the failure rate up to which a request takes a free slot rather than wait for a cheaper upstream. The
	// rates of avoided upstreams, which yield no results, have to fall below it soon: after four failures in succession they
	// do in 150 ms, and in 1.3 s at most, after which an upstream that answers none costs one request.
	maxFailureRate = 0.8
)

// choice is a chosen upstream with its cost.
type choice struct {
	selection.Candidate
	// cost ranks the upstream, and expectedTime is the expected time of the request there, both in usual service times.
	cost, expectedTime float64
}

// newChoice returns the choice of the candidate.
func newChoice(c selection.Candidate, now time.Time) *choice {
	return &choice{Candidate: c, cost: selection.Cost(c, now), expectedTime: selection.ExpectedTime(c, now)}
}

// acquire waits for an upstream that is expected to answer in time, and returns it or the reason why there is none. It waits
// only if no sampled upstream with an acceptable failure rate has a free slot: when all of them shed, the one that shed least
// lately fills up, and a request that waits for it is no less likely to be refused, but late.
//
// Waiting here keeps the queues of the upstreams short: a request queued at an upstream can neither move to one that
// becomes free nor yield to a more urgent request. A request that can no longer be answered in time takes a free slot of a
// slow upstream, which other requests avoid, or is refused.
func (r *run) acquire(ctx context.Context) (*choice, outcome.Outcome) {
	for round := 0; ; round++ {
		c, decision := r.decide(round)
		switch d := decision.(type) {
		case admission.Send:
			if round > 0 {
				r.config.Scarcity.Serve(r.scarcityPlace(), time.Now())
			}
			if d.IsWaiting {
				r.recordWaiting()
			}
			return c, nil
		case admission.Refuse:
			if d.Reason == outcome.Scarce || d.Reason == outcome.QueueFull {
				r.recordOrder(round, d.LeftTo)
			}
			if d.IsWaiting {
				r.recordWaiting()
			}
			if d.Reason == outcome.NoUpstream {
				return nil, r.noUpstream()
			}
			return nil, outcome.NotRun{Reason: d.Reason, RetryAfter: d.RetryAfter, Detail: r.detail(d)}
		case admission.Wait:
			r.recordOrder(round, d.LeftTo)
			r.recordWaiting()
		}
		if !backoff.Sleep(ctx, selectionInterval/2+rand.N(selectionInterval)) {
			return nil, outcome.NotRun{Reason: outcome.Cancelled}
		}
	}
}

// recordOrder records that the request found no free slot in the round, and to which requests it left a slot.
func (r *run) recordOrder(round int, leftTo admission.Order) {
	if round == 0 {
		r.config.Scarcity.Come(r.scarcityPlace(), time.Now())
	}
	if leftTo != admission.NoOrder {
		r.leftTo = leftTo
	}
}

// detail describes for the log what refused the request.
func (r *run) detail(d admission.Refuse) string {
	switch {
	case d.Reason == outcome.Scarce:
		return "requests like it waited in vain lately"
	case d.Reason == outcome.QueueFull && r.leftTo != admission.NoOrder:
		return "left a slot to requests that are " + string(r.leftTo)
	default:
		return ""
	}
}

// scarcityPlace returns the place by which waits are counted.
func (r *run) scarcityPlace() scarcity.Place {
	return scarcity.Place{Service: r.job.Request.Service, Priority: r.job.Priority}
}

// decide makes one round of selection and returns the decision, and the upstream if the request is to be sent. The request is then
// taken from the quota of the upstream.
func (r *run) decide(round int) (*choice, admission.Decision) {
	known, choices := r.survey(round)
	for {
		decision := admission.Decide(known)
		send, ok := decision.(admission.Send)
		if !ok {
			return nil, decision
		}
		if c := choices[send.To]; r.takeQuota(c) {
			return c, decision
		}
		send.To.IsTaken = true
	}
}

// survey polls a sample of upstreams, unless there is no use in it, and returns what is known and the choices of its options.
func (r *run) survey(round int) (admission.Round, map[*admission.Option]*choice) {
	known := admission.Round{HasLeft: r.hasLeft(), IsCutOff: r.isCutOff()}
	if known.HasLeft || known.IsCutOff {
		return known, nil
	}
	best := r.choose(round%roundsPerFar == 0)
	now := time.Now()
	known.HasLeft = r.hasLeft()
	known.IsKnown = len(r.config.Roster.Usable(r.job.Request.Service)) > 0
	known.Waited, known.Usual, known.Target = now.Sub(r.job.Arrived), r.config.Times.Usual(r.job.Rule), r.target()
	known.IsMoreUrgentWaiting = r.config.Pressure.HasMoreUrgent(r.job.Request.Service, r.job.Priority, now)
	if r.job.Request.HasOrganisations {
		r.surveyOrder(&known, round, now)
	}
	if r.blocked.isAll {
		known.Limits = &admission.Limits{Wait: r.blocked.wait, RetryAfter: r.blocked.retryAfter()}
	}
	choices := make(map[*admission.Option]*choice)
	if best != nil {
		known.Best = best.option()
		choices[known.Best] = best
	}
	for _, candidate := range r.sampled {
		if c := newChoice(candidate, now); c.isFree() {
			o := c.option()
			known.Free = append(known.Free, o)
			choices[o] = c
		}
	}
	return known, choices
}

// surveyOrder adds what decides the order of requests when the service is scarce. It applies only to rules with organisations: without
// them, refusing some requests at once cost more in the worst seconds than it gained.
func (r *run) surveyOrder(known *admission.Round, round int, now time.Time) {
	known.IsLessServedWaiting = r.config.Pressure.HasLessServed(r.job.Request.Service, r.job.Priority, r.job.Request.Organisation, now)
	known.IsScarce, known.Excess = r.config.Scarcity.State(r.scarcityPlace(), r.config.Times.KnowsReturns(r.job.Rule), now)
	known.IsFirst, known.Draw, known.Elapsed = round == 0, rand.Float64(), r.elapsed
	known.RetryAfter = r.retryAfter(known.Target - known.Usual - r.elapsed - known.Waited)
}

// retryAfter returns the time after which the request should return if it is refused now. If it may still be answered in time for that long,
// it returns within that time, else as late as its caller waits, when the excess has had the most time to end.
func (r *run) retryAfter(timely time.Duration) time.Duration {
	// Ingress adds a quarter at most.
	latest := time.Duration(0.8 * returnShare * float64(time.Until(r.job.Request.Deadline)))
	earliest := latest / 2
	if timely > earliest {
		earliest, latest = latest/8, min(latest, timely)
	}
	return max(earliest+time.Duration(rand.Float64()*float64(latest-earliest)), 0)
}

// option returns what the decision needs to know of the upstream.
func (c *choice) option() *admission.Option {
	return &admission.Option{Cost: c.cost, ExpectedTime: c.expectedTime, FreeSlots: selection.FreeSlots(c.Candidate)}
}

// isFree reports whether the upstream has a free slot and an acceptable failure rate.
func (c *choice) isFree() bool {
	return selection.FreeSlots(c.Candidate) > 0 && !c.Condition.Unreachable && c.Condition.FailureRate <= maxFailureRate
}

// recordWaiting makes less urgent requests leave a slot free.
func (r *run) recordWaiting() {
	r.config.Pressure.Add(r.job.Request.Service, r.job.Priority, r.job.Request.Organisation, time.Now())
}

// takeQuota takes the request from the quota of the chosen upstream, and reports whether it may be sent.
func (r *run) takeQuota(c *choice) bool {
	return r.config.Quotas.Take(c.Upstream, time.Now())
}

// target returns the time after the arrival within which an answer counts as in time.
func (r *run) target() time.Duration {
	remaining := r.job.Request.Deadline.Sub(r.job.Arrived)
	if r.job.Rule.Target <= 0 {
		return remaining
	}
	return min(time.Duration(targetShare*float64(r.job.Rule.Target)), remaining)
}

// choose returns the cheapest upstream that the request hasn't been sent to, or nil if there is none. Other failure domains
// are considered only if mayUseFar is true and none of the VM's own has an acceptable cost.
func (r *run) choose(mayUseFar bool) *choice {
	near, far := r.candidates()
	r.sampled = r.sampled[:0]
	best := r.improve(nil, near, true, nearPollWait)
	if len(near.open) > 0 && (!mayUseFar || !r.isWorthLeaving(best)) {
		return best
	}
	if best != nil {
		far.open = r.promising(far.open, best.cost)
	}
	return r.improve(best, far, false, farPollWait)
}

// isWorthLeaving reports whether the request should look for an upstream in other failure domains, given the best one in its own. A
// large request or answer leaves its failure domain only if it would be late otherwise, because traffic between domains is scarce.
func (r *run) isWorthLeaving(best *choice) bool {
	if best == nil {
		return true
	}
	if best.cost <= acceptableCost {
		return false
	}
	size := len(r.job.Request.Body) + r.config.Times.AnswerSize(r.job.Rule)
	return size <= largeExchange || !r.isInTime(best)
}

// isInTime reports whether the request is expected to be answered in time at the upstream, which has a free slot.
func (r *run) isInTime(c *choice) bool {
	waited := time.Since(r.job.Arrived)
	expected := time.Duration(c.expectedTime * float64(r.config.Times.Usual(r.job.Rule)))
	return c.isFree() && waited+expected <= r.target()
}

// promising returns the upstreams of the failure domains that have lately served requests at less than the cost.
func (r *run) promising(all []roster.Upstream, cost float64) []roster.Upstream {
	now := time.Now()
	isPromising := make(map[string]bool)
	for _, u := range all {
		if !isPromising[u.FailureDomain] {
			place := domaincost.Place{Service: u.Service, FailureDomain: u.FailureDomain}
			isPromising[u.FailureDomain] = r.config.DomainCosts.Estimate(place, selection.LowestCost(u, false, now), now) < cost
		}
	}
	return slices.DeleteFunc(slices.Clone(all), func(u roster.Upstream) bool { return !isPromising[u.FailureDomain] })
}

// subset returns at most SubsetSize upstreams by rendezvous hashing: the same ones on each call, and different ones on most
// other VMs. A VM that used all of them would need a connection to each, and few connections would be used again before
// they close.
func (r *run) subset(all []roster.Upstream) []roster.Upstream {
	if len(all) <= SubsetSize {
		return all
	}
	type ranked struct {
		upstream roster.Upstream
		hash     uint64
	}
	list := make([]ranked, len(all))
	for i, u := range all {
		list[i] = ranked{u, quota.Weight(r.config.VM, u.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	preferred := make([]roster.Upstream, SubsetSize)
	for i := range preferred {
		preferred[i] = list[i].upstream
	}
	return preferred
}

// place holds the upstreams of a place that have not been tried yet.
type place struct {
	// open are those that the request may be sent to, and limited those that may not get it but should be polled, as their
	// limit may have ended.
	open, limited []roster.Upstream
}

// candidates returns the service's upstreams in the VM's own failure domain and in the others, and sets blocked.
func (r *run) candidates() (near, far place) {
	now := time.Now()
	r.blocked = blockage{wait: quota.Never}
	for _, u := range r.config.Roster.Usable(r.job.Request.Service) {
		if r.wasTried(u) {
			continue
		}
		p := &far
		if u.FailureDomain == r.config.FailureDomain {
			p = &near
		}
		permit := r.config.Quotas.Check(u, now)
		if permit.Requests > 0 {
			p.open = append(p.open, u)
			continue
		}
		r.blocked.add(permit)
		if permit.IsCold && !r.isHeld {
			r.isHeld = true
			r.config.Quotas.CountHeld()
		}
		if permit.PollDue {
			p.limited = append(p.limited, u)
		}
	}
	r.blocked.isAll = r.blocked.isAny && len(near.open)+len(far.open) == 0
	near.open, near.limited = r.subset(near.open), r.subset(near.limited)
	far.open, far.limited = r.subset(far.open), r.subset(far.limited)
	return near, far
}

// wasTried reports whether the request was sent to the upstream, or to another one at its address, which would read the answers to
// both attempts on the same connection.
func (r *run) wasTried(u roster.Upstream) bool {
	return slices.ContainsFunc(r.attempts, func(a Attempt) bool {
		return a.Upstream.ID == u.ID || a.Upstream.Address == u.Address
	})
}

// improve polls a sample of the upstreams and returns the cheapest of them, or current if that is at least as cheap.
func (r *run) improve(current *choice, all place, near bool, maxWait time.Duration) *choice {
	sampled := r.sample(all.open, near)
	if n := len(all.limited); n > 0 {
		sampled = append(sampled, all.limited[rand.IntN(n)])
	}
	if slices.ContainsFunc(sampled, func(u roster.Upstream) bool { return !r.isConnected(u) }) {
		maxWait += connectWait
	}
	if remaining := time.Until(r.job.Request.Deadline); remaining < maxWait {
		maxWait = max(remaining, 0)
	}
	r.config.Sampler.Poll(sampled, r.job.HealthPath, maxWait)
	// An upstream may have been removed, or may have stated a limit, during the poll.
	sampled = slices.DeleteFunc(sampled, func(u roster.Upstream) bool { return !r.config.Roster.IsUsable(u) })
	now := time.Now()
	list := slices.DeleteFunc(r.withConditions(sampled, near, now), func(c selection.Candidate) bool { return c.HasQuota && c.Quota == 0 })
	r.sampled = append(r.sampled, list...)
	if !near {
		r.recordDomains(list, now)
	}
	i, cost := selection.Best(list, now)
	if i < 0 || current != nil && current.cost <= cost {
		return current
	}
	return newChoice(list[i], now)
}

// recordDomains records the cost of each failure domain in a sample.
func (r *run) recordDomains(list []selection.Candidate, now time.Time) {
	lowest := make(map[domaincost.Place]float64)
	for _, c := range list {
		place := domaincost.Place{Service: c.Upstream.Service, FailureDomain: c.Upstream.FailureDomain}
		cost := selection.Cost(c, now)
		if known, found := lowest[place]; !found || cost < known {
			lowest[place] = cost
		}
	}
	for place, cost := range lowest {
		r.config.DomainCosts.Record(place, cost, now)
	}
}

// withConditions returns the upstreams as candidates with their present conditions.
func (r *run) withConditions(ups []roster.Upstream, near bool, now time.Time) []selection.Candidate {
	list := make([]selection.Candidate, len(ups))
	for i, u := range ups {
		permit := r.config.Quotas.Check(u, now)
		list[i] = selection.Candidate{
			Upstream: u, Condition: r.config.Conditions.Get(u.ID, now), Near: near,
			Quota: permit.Requests, HasQuota: permit.Requests != quota.Unlimited, WarmAt: permit.WarmAt,
		}
	}
	return list
}

// isConnected reports whether a connection to the upstream is open and idle.
func (r *run) isConnected(u roster.Upstream) bool {
	return r.config.HasIdle == nil || r.config.HasIdle(u)
}

// sample returns the upstreams to poll: the cheapest by their last known conditions, and a random one. These conditions are
// old, but a host that was slow a short time ago is likely to be slow still. Upstreams with an open connection are preferred, because
// the reports of all others soon count for nothing, and a VM with few requests would open a connection for each of them.
func (r *run) sample(all []roster.Upstream, near bool) []roster.Upstream {
	if len(all) <= sampleSize {
		return slices.Clone(all)
	}
	now := time.Now()
	type ranked struct {
		upstream    roster.Upstream
		cost        float64
		isConnected bool
	}
	list := make([]ranked, len(all))
	for i, c := range r.withConditions(all, near, now) {
		list[i] = ranked{c.Upstream, selection.Cost(c, now), r.isConnected(c.Upstream)}
		if !list[i].isConnected {
			list[i].cost += connectionCost
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	// The last one is left out of the sort and is the random one.
	last := len(list) - 1
	if rand.Float64() >= exploreShare {
		if i := slices.IndexFunc(list, func(l ranked) bool { return l.isConnected }); i >= 0 {
			list[i], list[last] = list[last], list[i]
		}
	}
	slices.SortStableFunc(list[:last], func(a, b ranked) int { return cmp.Compare(a.cost, b.cost) })
	sampled := []roster.Upstream{list[last].upstream}
	for _, l := range list[:sampleSize-1] {
		sampled = append(sampled, l.upstream)
	}
	return sampled
}
