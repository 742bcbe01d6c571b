package grace

import "time"

const (
	// Period is the grace period after an outage, in which entries are registered again: the platform states about two
	// seconds.
	Period = 2 * time.Second
	// massExpiryShare is the share of the entries above which entries missing after an outage count as expired in it.
	// Leases expire together in an outage; a few missing entries left while only this VM could not reach the store.
	massExpiryShare = 0.25
)

// Set is a set of entries by name. It is not safe for concurrent use.
type Set[T any] struct {
	entries map[string]entry[T]
	// graceEnd is the end of the grace period after the last outage.
	graceEnd time.Time
}

type entry[T any] struct {
	value T
	// expiresAt is the time at which a removed entry is dropped, or zero while it is listed.
	expiresAt time.Time
}

// New returns an empty set.
func New[T any]() *Set[T] {
	return &Set[T]{entries: make(map[string]entry[T])}
}

// BeginGrace begins the grace period after an outage.
func (s *Set[T]) BeginGrace(now time.Time) {
	s.graceEnd = now.Add(Period)
}

// Get returns an entry, whether it is found, and whether it is listed, that is, not removed.
func (s *Set[T]) Get(name string) (value T, found, listed bool) {
	e, found := s.entries[name]
	return e.value, found, found && e.expiresAt.IsZero()
}

// Put adds or replaces an entry, which is then listed.
func (s *Set[T]) Put(name string, value T) {
	s.entries[name] = entry[T]{value: value}
}

// Remove removes an entry and reports whether it was found. The entry is dropped at the end of the grace period, or at
// once if no grace period is running or the removal is final.
func (s *Set[T]) Remove(name string, final bool, now time.Time) bool {
	e, found := s.entries[name]
	switch {
	case !found:
		return false
	case final || !now.Before(s.graceEnd):
		delete(s.entries, name)
	case e.expiresAt.IsZero():
		e.expiresAt = s.graceEnd
		s.entries[name] = e
	}
	return true
}

// Retain removes the entries that are not listed, under the rules of Remove. If only few are missing, they get no
// grace period.
func (s *Set[T]) Retain(listed map[string]bool, isFinal func(T) bool, now time.Time) {
	var missing []string
	for name := range s.entries {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	few := float64(len(missing)) <= massExpiryShare*float64(len(s.entries))
	for _, name := range missing {
		s.Remove(name, few || isFinal(s.entries[name].value), now)
	}
}

// Expire drops the removed entries whose grace period has ended and returns their number.
func (s *Set[T]) Expire(now time.Time) int {
	n := 0
	for name, e := range s.entries {
		if !e.expiresAt.IsZero() && !now.Before(e.expiresAt) {
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

// All yields the entries in no particular order; the loop may remove entries.
func (s *Set[T]) All(yield func(name string, value T) bool) {
	for name, e := range s.entries {
		if !yield(name, e.value) {
			return
		}
	}
}
