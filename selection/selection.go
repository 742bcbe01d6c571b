package selection

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// unknownSlowdown is the assumed slowdown of an upstream without a report, or with an old one: the mean over hosts of
	// which a quarter to a third is seven times slower than usual.
	unknownSlowdown = 2.5
	// reportHalfLife is the age of a report at which its slowdown and unknownSlowdown have equal weight; slow phases of
	// shared hosts last about 500 ms.
	reportHalfLife = 250 * time.Millisecond
	// coldFactor is the slowdown of an upstream that has just started, as the platform documents it.
	coldFactor = 2.0
	// kneeShare is the share of busy slots above which an upstream slows down, by kneeFactor.
	kneeShare  = 0.8
	kneeFactor = 1.6
	// crowdCost is the cost, in usual service times, for each request in progress that a further one slows down by taking
	// the upstream above kneeShare. On average half of their work is left.
	crowdCost = (kneeFactor - 1) / 2
	// farCost is the cost of another failure domain in usual service times: a round trip and the price of the traffic.
	farCost = 0.4
	// failureCost is the cost of a failed request in usual service times.
	failureCost = 6.0
	// unhealthyCost is the cost of a bad health answer in usual service times; such answers are sometimes wrong.
	unhealthyCost = 1.5
	// unreachableCost is the cost, in usual service times, of an upstream that could not be reached a short time ago.
	unreachableCost = 20.0
	// maxExpectedTime bounds the expected time, in usual service times, of a request at an upstream that reports a very high load.
	// Durations computed from it don't overflow, and no deadline is that long.
	maxExpectedTime = 1e4
)

// Candidate is an upstream that a request may be sent to.
type Candidate struct {
	// Upstream is the candidate itself.
	Upstream roster.Upstream
	// Condition is its observed condition.
	Condition condition.Condition
	// WarmAt is the time at which the candidate reaches its full speed if more is known than its entry states, else zero.
	WarmAt time.Time
	// Near reports whether it is in the VM's own failure domain.
	Near bool
	// Quota is the number of requests that this VM may send to it at once; it is valid if HasQuota is true.
	Quota    int
	HasQuota bool
}

// ExpectedTime returns the expected time of a request at the candidate in usual service times.
func ExpectedTime(c Candidate, now time.Time) float64 {
	slots, busy := occupancy(c)
	slow := slowdown(c.Condition)
	warmAt := c.WarmAt
	if warmAt.IsZero() {
		warmAt = c.Upstream.WarmAt
	}
	if now.Before(warmAt) {
		slow *= coldFactor
	}
	if isCrowded(busy+1, slots) {
		slow *= kneeFactor
	}
	wait := float64(max(busy-slots+1, 0)) / float64(slots)
	return min(slow*(1+wait), maxExpectedTime)
}

// isCrowded reports whether an upstream with that many busy slots is slowed down.
func isCrowded(busy, slots int) bool {
	return float64(busy) > kneeShare*float64(slots)
}

// Cost returns the cost of a request at the candidate in usual service times: the expected time, what it delays the requests
// in progress there, and penalties for failures, another failure domain, bad health and unreachability.
func Cost(c Candidate, now time.Time) float64 {
	cost := ExpectedTime(c, now) + c.Condition.FailureRate*failureCost
	if slots, busy := occupancy(c); busy < slots && !isCrowded(busy, slots) && isCrowded(busy+1, slots) {
		cost += float64(busy) * crowdCost
	}
	if !c.Near {
		cost += farCost
	}
	if c.Condition.Unhealthy {
		cost += unhealthyCost
	}
	if c.Condition.Unreachable {
		cost += unreachableCost
	}
	return cost
}

// LowestCost returns the cost that a request has at least at the upstream, whatever its load.
func LowestCost(u roster.Upstream, near bool, now time.Time) float64 {
	cost := 1.0
	if now.Before(u.WarmAt) {
		cost *= coldFactor
	}
	if !near {
		cost += farCost
	}
	return cost
}

// FreeSlots returns the number of the candidate's free slots that this VM may use.
func FreeSlots(c Candidate) int {
	slots, busy := occupancy(c)
	free := max(slots-busy, 0)
	if c.HasQuota {
		free = min(free, c.Quota)
	}
	return free
}

// occupancy returns the candidate's slots and the number of requests known to run or wait there.
func occupancy(c Candidate) (slots, busy int) {
	slots, busy = max(c.Upstream.Slots, 1), c.Condition.OwnSinceReport
	if c.Condition.HasLoad {
		busy += c.Condition.Load.Running + c.Condition.Load.Waiting
		if c.Condition.Load.Slots > 0 {
			slots = c.Condition.Load.Slots
		}
	}
	return slots, busy
}

// slowdown returns the expected slowdown; it moves from the reported one to unknownSlowdown as the report ages.
func slowdown(c condition.Condition) float64 {
	if !c.HasLoad {
		return unknownSlowdown
	}
	reported := c.Load.Slowdown
	if reported <= 0 {
		reported = 1
	}
	weight := math.Exp2(-c.Age.Seconds() / reportHalfLife.Seconds())
	return weight*reported + (1-weight)*unknownSlowdown
}

// Best returns the index of the cheapest candidate and its cost, or -1 if there is none. It chooses at random among
// candidates of equal cost.
func Best(all []Candidate, now time.Time) (index int, cost float64) {
	index, ties := -1, 0
	for i, c := range all {
		switch candidateCost := Cost(c, now); {
		case index < 0 || candidateCost < cost:
			index, cost, ties = i, candidateCost, 1
		case candidateCost == cost:
			// Each of n equal candidates is kept with a probability of 1/n.
			if ties++; rand.IntN(ties) == 0 {
				index = i
			}
		}
	}
	return index, cost
}
