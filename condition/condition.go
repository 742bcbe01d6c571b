package condition

import (
	"math"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/exchange"
)

const (
	// failureGain is the weight of the latest result in the failure rate.
	failureGain = 0.35
	// failureHalfLife is the time in which a failure rate halves without new results. Failing upstreams recover within
	// seconds, and an upstream that is avoided yields no results of its own.
	failureHalfLife = 4 * time.Second
	// minBar and maxBar bound the time for which an upstream that can't be reached is not asked again.
	minBar = 300 * time.Millisecond
	maxBar = 2 * time.Second
	// kept is the time after which an upstream that is no longer used is forgotten.
	kept = time.Minute
)

// Condition is what is known of one upstream at one moment.
type Condition struct {
	// Load is the last report; it is valid if HasLoad is true.
	Load    exchange.Load
	HasLoad bool
	// Age is the time since the report.
	Age time.Duration
	// Own is the number of own requests in progress that were sent after the report.
	Own int
	// Failing is the share of recent requests that failed, between 0 and 1.
	Failing float64
	// Barred tells that the upstream could not be reached a short time ago.
	Barred bool
	// Unwell tells that the upstream's last health answer was not good.
	Unwell bool
}

// Table holds the conditions by the upstreams' identifiers. It serves many goroutines.
type Table struct {
	mu  sync.Mutex
	all map[string]*state
}

type state struct {
	load       exchange.Load
	loadAt     time.Time
	unwell     bool
	own, since int
	failing    float64
	failingAt  time.Time
	misses     int
	barredTo   time.Time
	usedAt     time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{all: make(map[string]*state)}
}

// Look returns the condition of the upstream.
func (t *Table) Look(id string, now time.Time) Condition {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.all[id]
	if s == nil {
		return Condition{}
	}
	return Condition{
		Load: s.load, HasLoad: !s.loadAt.IsZero(), Age: now.Sub(s.loadAt), Own: s.since,
		Failing: s.failureRate(now), Barred: now.Before(s.barredTo), Unwell: s.unwell,
	}
}

// Begin counts a request that is about to be sent.
func (t *Table) Begin(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.own++
	s.since++
}

// End counts the end of a request that Begin counted.
func (t *Table) End(id string, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.own--
	s.since = max(min(s.since-1, s.own), 0)
	rate := s.failureRate(now) * (1 - failureGain)
	if failed {
		rate += failureGain
	}
	s.failing, s.failingAt = rate, now
}

// Report takes a load report; it counts the requests that are in progress at the upstream, the own ones among them.
func (t *Table) Report(id string, load exchange.Load, well bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	s.load, s.loadAt, s.unwell = load, now, !well
	s.since, s.misses, s.barredTo = 0, 0, time.Time{}
}

// Miss counts an upstream that could not be reached; it is barred for a time that doubles with each miss in a row.
func (t *Table) Miss(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	if now.Before(s.barredTo) {
		return
	}
	s.barredTo = now.Add(min(minBar<<min(s.misses, 8), maxBar))
	s.misses++
}

// Expire forgets the upstreams that have not been used for a minute.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.all {
		if s.own == 0 && now.Sub(s.usedAt) > kept {
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

func (s *state) failureRate(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-now.Sub(s.failingAt).Seconds()/failureHalfLife.Seconds())
}
