package quarantine

import (
	"time"
)

// Level is what is known about a fingerprint.
type Level int

// Levels of a fingerprint.
const (
	// Clear marks a fingerprint without a death within the last minute.
	Clear Level = iota
	// Suspect marks a fingerprint with one death; it runs alone.
	Suspect
	// Quarantined marks a fingerprint with two deaths within a minute of each other; it is refused.
	Quarantined
)

// Span is the time within which two deaths count together, and for which suspicion and quarantine last.
const Span = time.Minute

// Entry is the death of an upstream while a request with the fingerprint was in progress on it.
type Entry struct {
	Fingerprint, Death uint64
	// At is the time of the death.
	At time.Time
}

// Table holds the latest two distinct deaths of each of at most limit fingerprints. It isn't safe for concurrent use.
type Table struct {
	limit   int
	suspect map[uint64]deaths
}

// deaths are the latest two distinct deaths, oldest first; the zero Entry stands for none.
type deaths [2]Entry

// New returns an empty table for at most limit fingerprints.
func New(limit int) *Table {
	return &Table{limit: limit, suspect: make(map[uint64]deaths)}
}

// Add records a death at the time at and tells whether it was new. A time after now counts as now. A death is not added
// if it is known, no longer matters, or finds the table full of quarantined fingerprints.
func (t *Table) Add(fingerprint, death uint64, at, now time.Time) (added bool) {
	if at.After(now) {
		at = now
	}
	e := Entry{Fingerprint: fingerprint, Death: death, At: at}
	if now.Sub(at) >= 2*Span {
		return false
	}
	d, known := t.suspect[fingerprint]
	if !known && !t.room(now) {
		return false
	}
	d, added = d.add(e)
	if added {
		t.suspect[fingerprint] = d
	}
	return added
}

// Level returns what is known about the fingerprint.
func (t *Table) Level(fingerprint uint64, now time.Time) Level {
	return t.suspect[fingerprint].level(now)
}

// Entries returns the deaths that still matter to this VM or to a peer, in no order. A death matters for up to two
// minutes, because it may be the first of the two that a quarantine rests on.
func (t *Table) Entries(now time.Time) []Entry {
	var all []Entry
	for f, d := range t.suspect {
		if d.expired(now) {
			delete(t.suspect, f)
			continue
		}
		for _, e := range d {
			if !e.At.IsZero() && now.Sub(e.At) < 2*Span {
				all = append(all, e)
			}
		}
	}
	return all
}

// room makes room for one more fingerprint and tells whether it could; the suspect with the oldest death goes first.
func (t *Table) room(now time.Time) bool {
	if len(t.suspect) < t.limit {
		return true
	}
	var oldest uint64
	var at time.Time
	for f, d := range t.suspect {
		if d.expired(now) {
			delete(t.suspect, f)
		} else if d.level(now) != Quarantined && (at.IsZero() || d[1].At.Before(at)) {
			oldest, at = f, d[1].At
		}
	}
	if len(t.suspect) >= t.limit && !at.IsZero() {
		delete(t.suspect, oldest)
	}
	return len(t.suspect) < t.limit
}

// add returns the latest two of the deaths and e, in an order that doesn't depend on the order of arrival.
func (d deaths) add(e Entry) (deaths, bool) {
	if !d[1].At.IsZero() && d[1].Death == e.Death || !d[0].At.IsZero() && d[0].Death == e.Death {
		return d, false
	}
	switch {
	case !before(e, d[1]):
		return deaths{d[1], e}, true
	case !before(e, d[0]):
		return deaths{e, d[1]}, true
	default:
		return d, false
	}
}

func before(a, b Entry) bool {
	return a.At.Before(b.At) || a.At.Equal(b.At) && a.Death < b.Death
}

// level needs only the latest two deaths: an earlier pair's quarantine ends no later than the latest death's suspicion
// unless the latest death makes a pair itself.
func (d deaths) level(now time.Time) Level {
	switch {
	case d.expired(now):
		return Clear
	case !d[0].At.IsZero() && d[1].At.Sub(d[0].At) <= Span:
		return Quarantined
	default:
		return Suspect
	}
}

func (d deaths) expired(now time.Time) bool {
	return d[1].At.IsZero() || now.Sub(d[1].At) >= Span
}

// Remove forgets the fingerprint. A request that an upstream has answered does not crash the upstreams that run it.
func (t *Table) Remove(fingerprint uint64) {
	delete(t.suspect, fingerprint)
}
