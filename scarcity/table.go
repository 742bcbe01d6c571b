package scarcity

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the time in which a count halves. It is short compared to the time for which demand exceeds the capacity, and long
	// enough for some five waits of a VM with 5 requests a second.
	halfLife = 2 * time.Second
	// surplus is the number of requests that may wait for each one that is served after a wait. With 1.3, slots stayed free while
	// nobody waited, and at twice the capacity 1.5 % fewer requests were answered in time if callers don't return.
	surplus = 2.0
	// blindSurplus is the same while it can't be told which requests have been refused before: to refuse those again is worse than to let
	// more wait. With 2.0, 0.531 of the requests were refused more than once at twice the capacity, instead of 0.484 without refusals at once.
	blindSurplus = 4.0
	// minWaits is the number of requests that may wait in vain before any is refused at once.
	minWaits = 2.0
	// minInVain is the number of requests that waited in vain lately from which a service is scarce.
	minInVain = 0.7
)

// Place is a service and the priority of requests for it.
type Place struct {
	Service  string
	Priority int
}

// Table counts the requests that found no free slot, and those of them that were served after a wait. It is safe for concurrent use.
type Table struct {
	mu  sync.Mutex
	all map[Place]counts
}

type counts struct {
	came, served float64
	at           time.Time
}

// New returns a table without counts.
func New() *Table {
	return &Table{all: make(map[Place]counts)}
}

// Come counts a request that found no free slot.
func (t *Table) Come(p Place, now time.Time) { t.add(p, 1, 0, now) }

// Serve counts a request that found none and has been sent to an upstream after a wait.
func (t *Table) Serve(p Place, now time.Time) { t.add(p, 0, 1, now) }

func (t *Table) add(p Place, came, served float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.all[p].decayed(now)
	c.came += came
	c.served += served
	t.all[p] = c
}

// State reports whether requests without a free slot waited in vain lately, and returns the share of them that should not wait because
// too many do. knowsReturns is set if it can be told which requests have been refused before.
func (t *Table) State(p Place, knowsReturns bool, now time.Time) (isScarce bool, excess float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.all[p].decayed(now)
	allowed := blindSurplus
	if knowsReturns {
		allowed = surplus
	}
	return c.came >= c.served+minInVain, max(c.came-allowed*c.served-minWaits, 0) / (c.came + 1)
}

// decayed returns the counts as they weigh at the later time.
func (c counts) decayed(now time.Time) counts {
	weight := math.Exp2(-now.Sub(c.at).Seconds() / halfLife.Seconds())
	return counts{c.came * weight, c.served * weight, now}
}
