package split

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// Splitter picks the part of a rule that serves the next request. It serves many goroutines.
type Splitter struct {
	mu    sync.Mutex
	rules map[string]*state
}

// state is the smooth weighted round robin of one rule.
type state struct {
	parts   []ruleset.Part
	current []float64
}

// New returns a splitter without history.
func New() *Splitter {
	return &Splitter{rules: make(map[string]*state)}
}

// Pick returns the service for the next request of the rule.
//
// Smooth weighted round robin keeps every run of requests close to the weights, which random draws don't. It starts at a
// random phase, so that many VMs with few requests each don't all begin with the heaviest part.
func (s *Splitter) Pick(r *ruleset.Rule) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Host + r.Prefix
	st := s.rules[id]
	if st == nil || !slices.Equal(st.parts, r.Parts) {
		st = start(r.Parts)
		s.rules[id] = st
	}
	return st.next()
}

// Keep forgets the history of rules that are not in the set.
func (s *Splitter) Keep(set *ruleset.Set) {
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

func start(parts []ruleset.Part) *state {
	st := &state{parts: parts, current: make([]float64, len(parts))}
	total := st.total()
	// Offsets with sum zero are a state that the round robin can be in, up to the order of its turns.
	sum := 0.0
	for i := range st.current {
		st.current[i] = (rand.Float64() - 0.5) * total
		sum += st.current[i]
	}
	for i := range st.current {
		st.current[i] -= sum / float64(len(parts))
	}
	return st
}

func (st *state) total() float64 {
	total := 0.0
	for _, p := range st.parts {
		total += p.Weight
	}
	return total
}

func (st *state) next() string {
	best := -1
	for i, p := range st.parts {
		st.current[i] += p.Weight
		if p.Weight > 0 && (best < 0 || st.current[i] > st.current[best]) {
			best = i
		}
	}
	if best < 0 {
		best = 0
	}
	st.current[best] -= st.total()
	return st.parts[best].Service
}
