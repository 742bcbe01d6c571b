package forwarder

import (
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/fairshare"
)

const (
	// pressureWindow is the time for which a request that found no free slot makes others leave a slot free. A VM with 5 requests a second
	// often gets urgent ones more than 400 ms apart, and with a window of 400 ms it gave the last slots of the fleet to others meanwhile.
	pressureWindow = time.Second
	// maxWaiting bounds the organisations and priorities that are recorded for a service. A VM with 5 requests a second records about 5.
	maxWaiting = 64
)

// Pressure records the priorities and organisations of requests that found no free slot at a service, and how much organisations sent. It is
// safe for concurrent use.
type Pressure struct {
	shares *fairshare.Table

	mu  sync.Mutex
	all map[string]map[claim]time.Time
}

// claim is what decides the order of a request.
type claim struct {
	priority     int
	organisation string
}

// NewPressure returns a Pressure without entries.
func NewPressure() *Pressure {
	return &Pressure{shares: fairshare.New(), all: make(map[string]map[claim]time.Time)}
}

// Add records that a request of the priority and organisation found no free slot.
func (p *Pressure) Add(service string, priority int, organisation string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := p.all[service]
	if waiting == nil {
		waiting = make(map[claim]time.Time)
		p.all[service] = waiting
	}
	c := claim{priority, organisation}
	if _, found := waiting[c]; !found && len(waiting) >= maxWaiting {
		expire(waiting, now)
		if len(waiting) >= maxWaiting {
			c.organisation = ""
		}
	}
	waiting[c] = now
}

// HasMoreUrgent reports whether a request more urgent than the priority found no free slot a short time ago.
func (p *Pressure) HasMoreUrgent(service string, priority int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	expire(p.all[service], now)
	for c := range p.all[service] {
		if c.priority < priority {
			return true
		}
	}
	return false
}

// HasLessServed reports whether a request of the priority, of an organisation that the given one is ahead of, found no free slot
// a short time ago.
func (p *Pressure) HasLessServed(service string, priority int, organisation string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	expire(p.all[service], now)
	for c := range p.all[service] {
		if c.priority == priority && p.shares.IsAhead(service, organisation, c.organisation, now) {
			return true
		}
	}
	return false
}

// expire deletes the entries that count no more.
func expire(waiting map[claim]time.Time, now time.Time) {
	for c, at := range waiting {
		if now.Sub(at) >= pressureWindow {
			delete(waiting, c)
		}
	}
}
