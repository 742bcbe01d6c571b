package split

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// Splitter picks the part of a rule that serves the next request. It is safe for concurrent use.
type Splitter struct {
	mu    sync.Mutex
	rules map[string]*roundRobin
}

// roundRobin is the state of the smooth weighted round robin of one rule.
type roundRobin struct {
	parts   []ruleset.Part
	current []float64
}

// New returns a splitter without history.
func New() *Splitter {
	return &Splitter{rules: make(map[string]*roundRobin)}
}

// Pick returns the service for the next request of the rule.
//
// Smooth weighted round robin keeps every sequence of requests close to the weights, which random choices don't. It starts
// at a random phase, so that many VMs with few requests each don't all start with the part of the highest weight.
func (s *Splitter) Pick(r *ruleset.Rule) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Host + r.Prefix
	rr := s.rules[id]
	if rr == nil || !slices.Equal(rr.parts, r.Parts) {
		rr = newRoundRobin(r.Parts)
		s.rules[id] = rr
	}
	return rr.next()
}

// Retain deletes the history of rules that are not in the set.
func (s *Splitter) Retain(set *ruleset.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]bool)
	for _, rules := range set.Hosts {
		for _, r := range rules {
			known[r.Host+r.Prefix] = true
		}
	}
	for id := range s.rules {
		if !known[id] {
			delete(s.rules, id)
		}
	}
}

// newRoundRobin returns a round robin at a random phase.
func newRoundRobin(parts []ruleset.Part) *roundRobin {
	rr := &roundRobin{parts: parts, current: make([]float64, len(parts))}
	total := rr.total()
	// The current weights of a round robin sum to zero after each pick, so random values with that sum are a valid state,
	// though the order of the picks may differ from that after a start at zero.
	sum := 0.0
	for i := range rr.current {
		rr.current[i] = (rand.Float64() - 0.5) * total
		sum += rr.current[i]
	}
	for i := range rr.current {
		rr.current[i] -= sum / float64(len(parts))
	}
	return rr
}

func (rr *roundRobin) total() float64 {
	total := 0.0
	for _, p := range rr.parts {
		total += p.Weight
	}
	return total
}

func (rr *roundRobin) next() string {
	best := -1
	for i, p := range rr.parts {
		rr.current[i] += p.Weight
		if p.Weight > 0 && (best < 0 || rr.current[i] > rr.current[best]) {
			best = i
		}
	}
	if best < 0 {
		best = 0
	}
	rr.current[best] -= rr.total()
	return rr.parts[best].Service
}
