package forwarder

import (
	"math"
	"sync"
	"time"
)

// pressureWindow is the time for which a request that found no free slot makes less urgent ones leave a slot free.
const pressureWindow = 400 * time.Millisecond

// Pressure records the priorities of requests that found no free slot at a service. It is safe for concurrent use.
type Pressure struct {
	mu  sync.Mutex
	all map[string]map[int]time.Time
}

// NewPressure returns a Pressure without entries.
func NewPressure() *Pressure {
	return &Pressure{all: make(map[string]map[int]time.Time)}
}

// Add records that a request of the priority found no free slot.
func (p *Pressure) Add(service string, priority int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all[service] == nil {
		p.all[service] = make(map[int]time.Time)
	}
	p.all[service][priority] = now
}

// HasMoreUrgent reports whether a request more urgent than the priority found no free slot a short time ago.
func (p *Pressure) HasMoreUrgent(service string, priority int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	mostUrgent := math.MaxInt
	for other, at := range p.all[service] {
		if now.Sub(at) < pressureWindow {
			mostUrgent = min(mostUrgent, other)
		} else {
			delete(p.all[service], other)
		}
	}
	return mostUrgent < priority
}
