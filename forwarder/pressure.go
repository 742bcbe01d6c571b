package forwarder

import (
	"math"
	"sync"
	"time"
)

// pressureSpan is the time for which a request that found no room makes less urgent ones leave room.
const pressureSpan = 400 * time.Millisecond

// Pressure remembers how urgent the requests are that found no room at a service. It serves many goroutines.
type Pressure struct {
	mu  sync.Mutex
	all map[string]map[int]time.Time
}

// NewPressure returns a memory without entries.
func NewPressure() *Pressure {
	return &Pressure{all: make(map[string]map[int]time.Time)}
}

// Add notes that a request of the priority found no room.
func (p *Pressure) Add(service string, priority int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all[service] == nil {
		p.all[service] = make(map[int]time.Time)
	}
	p.all[service][priority] = now
}

// Above tells whether a more urgent request than one of the priority found no room a short time ago.
func (p *Pressure) Above(service string, priority int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := math.MaxInt
	for rank, at := range p.all[service] {
		if now.Sub(at) < pressureSpan {
			most = min(most, rank)
		} else {
			delete(p.all[service], rank)
		}
	}
	return most < priority
}
