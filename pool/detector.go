package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// disturbanceFactor is how many times longer requests are assumed to take at an upstream while its host is disturbed.
	disturbanceFactor = 4
	// priorLogOdds is the logarithm of the odds, without evidence, that an upstream is disturbed: about 1 in 13.
	priorLogOdds = -2.5
	// evidenceDecay is the time in which the weight of evidence falls to 1/e. Disturbances last about as long.
	evidenceDecay = 100 * time.Millisecond
	// maxLogOdds bounds the logarithm of the odds in both directions, so that an upstream is used again soon after a
	// long disturbance.
	maxLogOdds = 6
	// stragglerShare is the share of requests assumed to run long without a disturbance. Without it a single straggler
	// makes its upstream look disturbed until the straggler ends: with 2 % stragglers the p99 of the largest service was
	// 2.4 times that of the bound instead of 1.04 times.
	stragglerShare = 0.02
	// tableSteps is the number of table entries per mean service time; tableEnd is the multiple of the mean at which
	// the tables end.
	tableSteps = 8
	tableEnd   = 24
)

// completedLogRatio and runningLogRatio hold the evidence of one request for a disturbance: the logarithm of the ratio
// of its likelihoods with and without one. The index is the time that the request took, or has run so far, in units of
// the mean divided by tableSteps.
var (
	completedLogRatio = logRatioTable(1/float64(disturbanceFactor), stragglerShare/50.0)
	runningLogRatio   = logRatioTable(1, stragglerShare)
)

// logRatioTable tabulates the logarithm of the likelihood ratio of exponential service times; scale is 1 for their
// distribution and 1/disturbanceFactor for their density, and tail is the likelihood of a straggler.
func logRatioTable(scale, tail float64) (table [tableSteps * tableEnd]float64) {
	for i := range table {
		x := float64(i) / tableSteps
		table[i] = math.Log((scale*math.Exp(-x/disturbanceFactor) + tail) / (math.Exp(-x) + tail))
	}
	return table
}

// detector estimates whether an upstream is disturbed at present, from the last service times and the ages of running
// requests. Smoothed service times detect an upstream that is slow for long, but lag behind disturbances of
// 20 to 200 ms.
type detector struct {
	// logOdds is the logarithm of the odds of a disturbance at the time updated.
	logOdds float64
	updated time.Time
	starts  []time.Time
}

// start records a request that begins to run.
func (d *detector) start(now time.Time) { d.starts = append(d.starts, now) }

// finish records the end of a request that began at start. Only an answer counts as evidence.
func (d *detector) finish(start time.Time, answered bool, service, mean time.Duration, now time.Time) {
	if i := slices.IndexFunc(d.starts, start.Equal); i >= 0 {
		last := len(d.starts) - 1
		d.starts[i] = d.starts[last]
		d.starts = d.starts[:last]
	}
	if answered {
		logOdds := d.decayedLogOdds(now) + logRatio(&completedLogRatio, service, mean)
		d.logOdds = min(max(logOdds, -maxLogOdds), maxLogOdds)
		d.updated = now
	}
}

// probability returns the probability, 0 to 1, that the upstream is disturbed.
func (d *detector) probability(mean time.Duration, now time.Time) float64 {
	logOdds := d.decayedLogOdds(now)
	for _, t := range d.starts {
		logOdds += logRatio(&runningLogRatio, now.Sub(t), mean)
	}
	return 1 / (1 + math.Exp(-logOdds))
}

func (d *detector) decayedLogOdds(now time.Time) float64 {
	weight := math.Exp(-float64(now.Sub(d.updated)) / float64(evidenceDecay))
	return priorLogOdds + (d.logOdds-priorLogOdds)*weight
}

func logRatio(table *[tableSteps * tableEnd]float64, took, mean time.Duration) float64 {
	i := int(tableSteps * took / max(mean, 1))
	return table[min(max(i, 0), len(table)-1)]
}
