package condition

import (
	"math"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/exchange"
)

const (
	// failureGain is the weight of the latest result in the failure rate, an exponential moving average.
	failureGain = 0.35
	// failureHalfLife is the time in which a failure rate halves without new results. Failing upstreams recover within
	// seconds, and an upstream that is avoided yields no results of its own.
	failureHalfLife = 4 * time.Second
	// minBackoff and maxBackoff bound the time for which an upstream that can't be reached is not polled.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// idleExpiry is the time without use after which the state of an upstream is deleted.
	idleExpiry = time.Minute
)

// Condition is the observed condition of one upstream at one moment.
type Condition struct {
	// Load is the last load report; it is valid if HasLoad is true.
	Load    exchange.Load
	HasLoad bool
	// Age is the time since the report.
	Age time.Duration
	// OwnSinceReport is the number of this VM's requests in progress that were sent after the report.
	OwnSinceReport int
	// FailureRate is the rate of failures among recent requests, between 0 and 1.
	FailureRate float64
	// Unreachable reports whether the upstream could not be reached a short time ago.
	Unreachable bool
	// Unhealthy reports whether the upstream's last health answer was bad.
	Unhealthy bool
}

// Table holds the conditions by the upstreams' identifiers. It is safe for concurrent use.
type Table struct {
	mu  sync.Mutex
	all map[string]*state
}

type state struct {
	load      exchange.Load
	loadAt    time.Time
	unhealthy bool
	// own counts the requests in progress, and ownSinceReport those of them that were sent after the last report.
	own, ownSinceReport int
	// failureRate is the failure rate at lastResultAt.
	failureRate      float64
	lastResultAt     time.Time
	unreachableCount int
	unreachableUntil time.Time
	usedAt           time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{all: make(map[string]*state)}
}

// Get returns the condition of the upstream, which is the zero Condition if nothing has been observed.
func (t *Table) Get(id string, now time.Time) Condition {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.all[id]
	if s == nil {
		return Condition{}
	}
	return Condition{
		Load: s.load, HasLoad: !s.loadAt.IsZero(), Age: now.Sub(s.loadAt), OwnSinceReport: s.ownSinceReport,
		FailureRate: s.currentFailureRate(now), Unreachable: now.Before(s.unreachableUntil), Unhealthy: s.unhealthy,
	}
}

// Begin records a request that is about to be sent.
func (t *Table) Begin(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.own++
	s.ownSinceReport++
}

// End records the end of a request that Begin recorded.
func (t *Table) End(id string, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.own--
	s.ownSinceReport = max(min(s.ownSinceReport-1, s.own), 0)
	rate := s.currentFailureRate(now) * (1 - failureGain)
	if failed {
		rate += failureGain
	}
	s.failureRate, s.lastResultAt = rate, now
}

// Report records a load report, which counts all requests in progress at the upstream, this VM's own among them.
func (t *Table) Report(id string, load exchange.Load, healthy bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.load, s.loadAt, s.unhealthy = load, now, !healthy
	s.ownSinceReport, s.unreachableCount, s.unreachableUntil = 0, 0, time.Time{}
}

// RecordUnreachable records that the upstream could not be reached. It counts as unreachable for a time that doubles with
// each consecutive call.
func (t *Table) RecordUnreachable(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	if now.Before(s.unreachableUntil) {
		return
	}
	s.unreachableUntil = now.Add(min(minBackoff<<min(s.unreachableCount, 8), maxBackoff))
	s.unreachableCount++
}

// Expire deletes the state of upstreams that have not been used for a minute.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.all {
		if s.own == 0 && now.Sub(s.usedAt) > idleExpiry {
			delete(t.all, id)
		}
	}
}

// get returns the state of the upstream; the caller holds mu.
func (t *Table) get(id string, now time.Time) *state {
	s := t.all[id]
	if s == nil {
		s = &state{}
		t.all[id] = s
	}
	s.usedAt = now
	return s
}

func (s *state) currentFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-now.Sub(s.lastResultAt).Seconds()/failureHalfLife.Seconds())
}
