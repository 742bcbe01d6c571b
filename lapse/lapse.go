package lapse

import "time"

const (
	// Grace is the time after the store's return in which entries are registered again: the platform states about two
	// seconds.
	Grace = 2 * time.Second
	// massShare is the share of the entries that have to be missing after an outage for it to have taken them. Leases
	// lapse together; a few missing entries have left while only this VM could not reach the store.
	massShare = 0.25
)

// Set is a set of entries by name. It isn't safe for concurrent use.
type Set[T any] struct {
	entries map[string]entry[T]
	// graceEnd is the end of the grace period after the store's last return.
	graceEnd time.Time
}

type entry[T any] struct {
	value T
	// goneAt is the time at which a removed entry ends, or zero while it is listed.
	goneAt time.Time
}

// New returns an empty set.
func New[T any]() *Set[T] {
	return &Set[T]{entries: make(map[string]entry[T])}
}

// Regained begins the grace period after an outage.
func (s *Set[T]) Regained(now time.Time) {
	s.graceEnd = now.Add(Grace)
}

// Get returns an entry, whether it is there, and whether it is listed at present.
func (s *Set[T]) Get(name string) (value T, found, listed bool) {
	e, found := s.entries[name]
	return e.value, found, found && e.goneAt.IsZero()
}

// Put lists an entry.
func (s *Set[T]) Put(name string, value T) {
	s.entries[name] = entry[T]{value: value}
}

// Remove takes an entry away, at the end of the grace period or at once, and tells whether it was there. An entry that
// is final goes at once in any case.
func (s *Set[T]) Remove(name string, final bool, now time.Time) bool {
	e, found := s.entries[name]
	switch {
	case !found:
		return false
	case final || !now.Before(s.graceEnd):
		delete(s.entries, name)
	case e.goneAt.IsZero():
		e.goneAt = s.graceEnd
		s.entries[name] = e
	}
	return true
}

// Retain removes the entries that are not listed, under the rules of Remove. Few missing entries have no grace.
func (s *Set[T]) Retain(listed map[string]bool, isFinal func(T) bool, now time.Time) {
	var missing []string
	for name := range s.entries {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	few := float64(len(missing)) <= massShare*float64(len(s.entries))
	for _, name := range missing {
		s.Remove(name, few || isFinal(s.entries[name].value), now)
	}
}

// Expire ends the removed entries whose grace has passed and returns their number.
func (s *Set[T]) Expire(now time.Time) int {
	n := 0
	for name, e := range s.entries {
		if !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			delete(s.entries, name)
			n++
		}
	}
	return n
}

// Len returns the number of entries.
func (s *Set[T]) Len() int {
	return len(s.entries)
}

// All yields the entries in no order; an entry may be removed meanwhile.
func (s *Set[T]) All(yield func(name string, value T) bool) {
	for name, e := range s.entries {
		if !yield(name, e.value) {
			return
		}
	}
}
