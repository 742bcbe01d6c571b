package quarantine

import (
	"time"
)

// Level is the degree of suspicion against a fingerprint.
type Level int

// Levels of a fingerprint.
const (
	// Clear is the level of a fingerprint without a death within the last minute.
	Clear Level = iota
	// Suspect is the level of a fingerprint with one death; its requests run alone.
	Suspect
	// Quarantined is the level of a fingerprint with two deaths within a minute of each other; its requests are refused.
	Quarantined
)

// Span is the longest time between two deaths that cause a quarantine, and the duration of suspicion and quarantine.
const Span = time.Minute

// Entry is the death of an upstream while a request with the fingerprint was in progress on it.
type Entry struct {
	Fingerprint, Death uint64
	// At is the time of the death.
	At time.Time
}

// Table holds the latest two distinct deaths of each of at most limit fingerprints. It isn't safe for concurrent use.
type Table struct {
	limit  int
	deaths map[uint64]deaths
}

// deaths are the latest two distinct deaths, oldest first; the zero Entry stands for none.
type deaths [2]Entry

// New returns an empty table for at most limit fingerprints.
func New(limit int) *Table {
	return &Table{limit: limit, deaths: make(map[uint64]deaths)}
}

// Add records a death at the time at and reports whether it was added. A time after now counts as now. A death is not
// added if it is already recorded or expired, or if the table is full of quarantined fingerprints.
func (t *Table) Add(fingerprint, death uint64, at, now time.Time) (added bool) {
	if at.After(now) {
		at = now
	}
	e := Entry{Fingerprint: fingerprint, Death: death, At: at}
	if now.Sub(at) >= 2*Span {
		return false
	}
	d, known := t.deaths[fingerprint]
	if !known && !t.makeRoom(now) {
		return false
	}
	d, added = d.add(e)
	if added {
		t.deaths[fingerprint] = d
	}
	return added
}

// Level returns the level of the fingerprint at the time now.
func (t *Table) Level(fingerprint uint64, now time.Time) Level {
	return t.deaths[fingerprint].level(now)
}

// Entries returns the deaths that still count on this VM or on a peer, in no particular order, and removes expired
// fingerprints. A death counts for up to two minutes, because it may be the first of the two that cause a quarantine.
func (t *Table) Entries(now time.Time) []Entry {
	var all []Entry
	for f, d := range t.deaths {
		if d.expired(now) {
			delete(t.deaths, f)
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

// makeRoom makes room for one more fingerprint and reports whether there is room. If the table is full, it removes the
// suspect whose latest death is oldest.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.deaths) < t.limit {
		return true
	}
	var oldest uint64
	var at time.Time
	for f, d := range t.deaths {
		if d.expired(now) {
			delete(t.deaths, f)
		} else if d.level(now) != Quarantined && (at.IsZero() || d[1].At.Before(at)) {
			oldest, at = f, d[1].At
		}
	}
	if len(t.deaths) >= t.limit && !at.IsZero() {
		delete(t.deaths, oldest)
	}
	return len(t.deaths) < t.limit
}

// add returns the latest two of the deaths and e, and reports whether e is new and one of them. The result does not
// depend on the order of arrival.
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

// level returns the level that follows from the latest two deaths. Earlier deaths can be ignored: the quarantine caused
// by an earlier pair ends no later than the suspicion caused by the latest death, unless the latest death is part of a
// pair itself.
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

// Remove removes the fingerprint. It is called when an upstream has answered the request, which shows that the request
// does not crash the upstreams that run it.
func (t *Table) Remove(fingerprint uint64) {
	delete(t.deaths, fingerprint)
}
