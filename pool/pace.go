package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// disturbance is how many times longer requests are assumed to take at an upstream while its host is disturbed.
	disturbance = 4
	// disturbed is the logarithm of the odds that an upstream is disturbed without evidence, about 1 in 13.
	disturbed = -2.5
	// memory is the time in which evidence loses most of its weight. Disturbances last about as long.
	memory = 100 * time.Millisecond
	// evidenceLimit bounds the logarithm of the odds, so that an upstream is believed again soon after a long
	// disturbance.
	evidenceLimit = 6
	// stragglers is the part of requests assumed to run long without a disturbance. Without it one straggler
	// makes its upstream look disturbed until it ends: the p99 of the largest service with 2 % stragglers was 2.4
	// times the bound's instead of 1.04 times.
	stragglers = 0.02
	// paceSteps is the number of steps of the tables per mean service time, paceEnd the multiple of the mean at which
	// they end.
	paceSteps = 8
	paceEnd   = 24
)

// completed and running hold what a request says about a disturbance, as the logarithm of the ratio of its likelihoods
// with and without one. The index is the time that the request took, or has run, in steps of the mean.
var (
	completed = paceTable(1/float64(disturbance), stragglers/50.0)
	running   = paceTable(1, stragglers)
)

// paceTable tabulates the ratio of exponential service times; scale is 1 for their distribution and 1/disturbance for
// their density, and tail is the likelihood of a straggler.
func paceTable(scale, tail float64) (table [paceSteps * paceEnd]float64) {
	for i := range table {
		x := float64(i) / paceSteps
		table[i] = math.Log((scale*math.Exp(-x/disturbance) + tail) / (math.Exp(-x) + tail))
	}
	return table
}

// pace estimates whether an upstream is disturbed right now, from the last service times and from the ages of running
// requests. Smoothed service times find an upstream that is slow for long, but lag behind disturbances of 20 to 200 ms.
type pace struct {
	// odds is the logarithm of the odds at the time heard.
	odds   float64
	heard  time.Time
	starts []time.Time
}

// start notes a request that begins to run.
func (c *pace) start(now time.Time) { c.starts = append(c.starts, now) }

// finish notes the end of a request that began at start. Only an answer is evidence.
func (c *pace) finish(start time.Time, answered bool, service, mean time.Duration, now time.Time) {
	if i := slices.IndexFunc(c.starts, start.Equal); i >= 0 {
		last := len(c.starts) - 1
		c.starts[i] = c.starts[last]
		c.starts = c.starts[:last]
	}
	if answered {
		odds := c.decayed(now) + evidence(&completed, service, mean)
		c.odds = min(max(odds, -evidenceLimit), evidenceLimit)
		c.heard = now
	}
}

// chance returns the probability, 0 to 1, that the upstream is disturbed.
func (c *pace) chance(mean time.Duration, now time.Time) float64 {
	odds := c.decayed(now)
	for _, t := range c.starts {
		odds += evidence(&running, now.Sub(t), mean)
	}
	return 1 / (1 + math.Exp(-odds))
}

func (c *pace) decayed(now time.Time) float64 {
	left := math.Exp(-float64(now.Sub(c.heard)) / float64(memory))
	return disturbed + (c.odds-disturbed)*left
}

func evidence(table *[paceSteps * paceEnd]float64, took, mean time.Duration) float64 {
	i := int(paceSteps * took / max(mean, 1))
	return table[min(max(i, 0), len(table)-1)]
}
