package selection

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// unknownSlowdown stands for the slowdown of an upstream without a report, or with an old one: the mean of hosts of
	// which a quarter to a third is seven times slower than usual.
	unknownSlowdown = 2.5
	// staleAge is the age of a report after which half of its slowdown is replaced by the mean; disturbances of shared
	// hosts last about 500 ms.
	staleAge = 250 * time.Millisecond
	// coldFactor is the slowdown of an upstream that has just started, by the platform's pages.
	coldFactor = 2.0
	// kneeShare and kneeFactor describe upstreams that slow down when they are nearly full.
	kneeShare  = 0.8
	kneeFactor = 1.5
	// crossing is the cost of another failure domain in usual service times: a round trip and the price of the bytes.
	crossing = 0.6
	// failure is the cost of a failed request in usual service times.
	failure = 6.0
	// unwell is the cost of a bad health answer in usual service times; such answers are wrong at times.
	unwell = 1.5
	// barred is the cost of an upstream that could not be reached a short time ago.
	barred = 20.0
)

// Candidate is an upstream that a request may be sent to.
type Candidate struct {
	// Upstream is the candidate itself.
	Upstream roster.Upstream
	// Condition is what is known of it.
	Condition condition.Condition
	// Near tells that it stands in the VM's own failure domain.
	Near bool
}

// Time returns the expected time of a request at the candidate in usual service times.
func Time(c Candidate, now time.Time) float64 {
	slots, busy := use(c)
	slow := slowdown(c.Condition)
	if now.Before(c.Upstream.WarmAt) {
		slow *= coldFactor
	}
	if float64(busy+1) > kneeShare*float64(slots) {
		slow *= kneeFactor
	}
	wait := float64(max(busy-slots+1, 0)) / float64(slots)
	return slow * (1 + wait)
}

// Cost returns the expected time of a request at the candidate in usual service times, with what else it costs.
func Cost(c Candidate, now time.Time) float64 {
	cost := Time(c, now) + c.Condition.Failing*failure
	if !c.Near {
		cost += crossing
	}
	if c.Condition.Unwell {
		cost += unwell
	}
	if c.Condition.Barred {
		cost += barred
	}
	return cost
}

// Free returns the number of the candidate's free slots.
func Free(c Candidate) int {
	slots, busy := use(c)
	return max(slots-busy, 0)
}

// use returns the candidate's slots and the requests that are known to be there.
func use(c Candidate) (slots, busy int) {
	slots, busy = max(c.Upstream.Slots, 1), c.Condition.Own
	if c.Condition.HasLoad {
		busy += c.Condition.Load.Running + c.Condition.Load.Waiting
		if c.Condition.Load.Slots > 0 {
			slots = c.Condition.Load.Slots
		}
	}
	return slots, busy
}

// slowdown returns the expected slowdown; it moves from the reported one to the mean as the report ages.
func slowdown(c condition.Condition) float64 {
	if !c.HasLoad {
		return unknownSlowdown
	}
	reported := c.Load.Slowdown
	if reported <= 0 {
		reported = 1
	}
	trust := math.Exp2(-c.Age.Seconds() / staleAge.Seconds())
	return trust*reported + (1-trust)*unknownSlowdown
}

// Best returns the index of the cheapest candidate and its cost, or -1 if there is none. Equal candidates share the
// requests.
func Best(all []Candidate, now time.Time) (index int, cost float64) {
	index, ties := -1, 0
	for i, c := range all {
		switch v := Cost(c, now); {
		case index < 0 || v < cost:
			index, cost, ties = i, v, 1
		case v == cost:
			// Each of n equal candidates is kept with a probability of 1/n.
			if ties++; rand.IntN(ties) == 0 {
				index = i
			}
		}
	}
	return index, cost
}
