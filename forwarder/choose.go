package forwarder

import (
	"slices"
	"time"

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
)

// choice is the upstream chosen, with its cost.
type choice struct {
	selection.Candidate
	cost float64
}

// choose returns the best upstream that this request hasn't been sent to, or nil if there is none.
func (r *run) choose() *choice {
	near, far := r.candidates()
	best := r.best(nil, near, true, nearPatience)
	if best == nil || best.cost > poorCost {
		best = r.best(best, far, false, farPatience)
	}
	return best
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
	some := draw(r.reachable(all), samples)
	if left := time.Until(r.job.Request.Deadline); left < patience {
		patience = max(left, 0)
	}
	r.config.Sampler.Ask(some, r.job.Health, patience)
	now := time.Now()
	list := make([]selection.Candidate, 0, len(some))
	for _, u := range some {
		// An upstream may have left while it was asked.
		if r.config.Roster.IsUsable(u) {
			list = append(list, selection.Candidate{Upstream: u, Condition: r.config.Conditions.Look(u.ID, now), Near: near})
		}
	}
	i, cost := selection.Best(list, now)
	if i < 0 || than != nil && than.cost <= cost {
		return than
	}
	return &choice{Candidate: list[i], cost: cost}
}

// reachable returns the upstreams without those that could not be reached a short time ago, unless that leaves none.
func (r *run) reachable(all []roster.Upstream) []roster.Upstream {
	now := time.Now()
	some := make([]roster.Upstream, 0, len(all))
	for _, u := range all {
		if !r.config.Conditions.Look(u.ID, now).Barred {
			some = append(some, u)
		}
	}
	if len(some) == 0 {
		return all
	}
	return some
}
