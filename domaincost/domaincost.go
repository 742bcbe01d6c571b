package domaincost

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the time in which the excess of a recorded cost over the lowest one halves. It is long compared to the time
	// between two requests of a VM and short compared to that for which a domain is full.
	halfLife = 2 * time.Second
	// expiry is the time after which a cost counts no more.
	expiry = 20 * time.Second
)

// Place is a service in a failure domain.
type Place struct {
	Service, FailureDomain string
}

// Table holds the costs of places, in usual service times. It is safe for concurrent use.
type Table struct {
	mu  sync.Mutex
	all map[Place]sample
}

// sample is the cost of the cheapest upstream of a sample.
type sample struct {
	cost float64
	at   time.Time
}

// New returns a table without costs.
func New() *Table {
	return &Table{all: make(map[Place]sample)}
}

// Record records the cost of the cheapest upstream in a sample of the place.
func (t *Table) Record(p Place, cost float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[p] = sample{cost, now}
}

// Estimate returns the cost that can be expected of the place, which is the lowest one, that of an idle upstream of usual speed, if
// nothing else is known.
func (t *Table) Estimate(p Place, lowest float64, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[p]
	if !found {
		return lowest
	}
	age := now.Sub(s.at)
	return lowest + max(s.cost-lowest, 0)*math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// Expire deletes the costs that count no more.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, s := range t.all {
		if now.Sub(s.at) > expiry {
			delete(t.all, p)
		}
	}
}
