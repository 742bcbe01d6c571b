package forwarder

import (
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

const (
	// medianStep is the share by which a service time above or below the usual one moves the usual one. The usual time
	// converges to the median, which stragglers and slow upstreams don't move.
	medianStep = 0.02
	// maxNormalTime is the expected time, in usual service times, up to which an upstream counts as neither slowed nor full.
	maxNormalTime = 1.3
	// assumedShare is the share of a rule's target time that is assumed as its usual time before the first measurement.
	assumedShare = 0.35
	// assumedTime is the usual time that is assumed for a rule without a target time.
	assumedTime = 100 * time.Millisecond
	// maxTarget is the target time above which a rule counts as one without a target time in this. An assumed time above the callers'
	// deadlines makes all requests late, and the median leaves it only by medianStep with each measurement.
	maxTarget = time.Minute
	// sizeGain is the weight of the latest answer in the usual size, an exponential moving average.
	sizeGain = 0.1
	// freshShare is the share of the longest time of a rule's requests above which a request is a first attempt. Deadlines are in
	// whole ms, and rules without a common time don't have many requests above it.
	freshShare = 0.95
	// minFresh is the share of first attempts below which the times of the rule's callers differ too much to tell. Requests of
	// callers that return twice are first attempts once in three times.
	minFresh = 0.2
	// maxFresh is the share above which no requests have come that were refused before, or they can't be told.
	maxFresh = 0.95
	// freshGain is the weight of the latest request in the share of first attempts, and longestDecay the share of the longest time
	// that is lost with each request, so that it follows callers with less time.
	freshGain    = 0.05
	longestDecay = 0.001
	// maxTimes is the maximum number of rules whose times are kept.
	maxTimes = 4096
)

// Times estimates the usual time of each rule's requests at upstreams of normal speed. It is safe for concurrent use.
type Times struct {
	mu  sync.Mutex
	all map[string]time.Duration
	// limits holds the times that callers leave for an answer.
	limits map[string]limit
	// sizes holds the usual sizes of answers in bytes.
	sizes map[string]float64
}

// NewTimes returns an empty table.
func NewTimes() *Times {
	return &Times{all: make(map[string]time.Duration), sizes: make(map[string]float64), limits: make(map[string]limit)}
}

// limit describes the times that the callers of a rule leave.
type limit struct {
	longest time.Duration
	// fresh is the share of the requests that leave about the longest time.
	fresh float64
}

// Elapsed returns the time since the first attempt of a request that has the given time left, or 0 if it is a first attempt or that
// can't be told. Callers of a rule have about the same time for all attempts together.
func (t *Times) Elapsed(r *ruleset.Rule, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.limits) >= maxTimes {
		clear(t.limits)
	}
	l, found := t.limits[r.Name]
	if !found {
		l.fresh = 1
	}
	l.longest = max(left, l.longest-time.Duration(longestDecay*float64(l.longest)))
	isFresh := float64(left) >= freshShare*float64(l.longest)
	l.fresh -= freshGain * l.fresh
	if isFresh {
		l.fresh += freshGain
	}
	t.limits[r.Name] = l
	if isFresh || l.fresh < minFresh {
		return 0
	}
	return l.longest - left
}

// IsTooLate reports whether a request with the given time left has been refused before and can't be answered within its target any
// more.
func (t *Times) IsTooLate(r *ruleset.Rule, left time.Duration) bool {
	elapsed := t.Elapsed(r, left)
	return elapsed > 0 && r.Target > 0 && elapsed+t.Usual(r) > r.Target
}

// KnowsReturns reports whether requests that had been refused before came lately and could be told from first attempts.
func (t *Times) KnowsReturns(r *ruleset.Rule) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, found := t.limits[r.Name]
	return found && l.fresh >= minFresh && l.fresh <= maxFresh
}

// AnswerSize returns the usual size of the bodies of the rule's answers in bytes, or 0 if none has been seen.
func (t *Times) AnswerSize(r *ruleset.Rule) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.sizes[r.Name])
}

// AddSize records the size of the body of an answer in bytes.
func (t *Times) AddSize(r *ruleset.Rule, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.sizes) >= maxTimes {
		clear(t.sizes)
	}
	usual, found := t.sizes[r.Name]
	if !found {
		usual = float64(size)
	}
	t.sizes[r.Name] = usual + sizeGain*(float64(size)-usual)
}

// Usual returns the usual time of the rule's requests, or an assumed one if none has been measured.
func (t *Times) Usual(r *ruleset.Rule) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.all[r.Name]; ok {
		return d
	}
	if r.Target > 0 && r.Target <= maxTarget {
		return time.Duration(assumedShare * float64(r.Target))
	}
	return assumedTime
}

// Add records the time that a request took at an upstream with the expected time, in usual service times. Measurements at
// slowed or full upstreams are ignored.
func (t *Times) Add(r *ruleset.Rule, took time.Duration, expected float64) {
	if expected > maxNormalTime {
		return
	}
	usual := t.Usual(r)
	if took > usual {
		usual += time.Duration(medianStep * float64(usual))
	} else {
		usual -= time.Duration(medianStep * float64(usual))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.all) >= maxTimes {
		clear(t.all)
	}
	t.all[r.Name] = usual
}
