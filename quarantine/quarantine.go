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
	// Quarantined is the level of a fingerprint with two deaths within a minute of each other, or with one after an earlier
	// quarantine; its requests are refused.
	Quarantined
)

// Span is the longest time between two deaths that cause a quarantine, and the duration of suspicion and of the first quarantine.
const Span = time.Minute

const (
	// quarantineGrowth is the factor by which each further quarantine of a fingerprint is longer, up to maxQuarantine.
	quarantineGrowth = 10
	maxQuarantine    = 24 * time.Hour
	// manyDeaths is the number of deaths of a quarantine from which on the first one is longer by quarantineGrowth too, and manyTogether
	// that of counted deaths within Span. Requests that come several times a second crash as many upstreams before all VMs know, and as
	// many again when a quarantine ends.
	manyDeaths   = 4
	manyTogether = 3
)

// minGap is the time between two deaths that cause a quarantine of requests that differ in part. Upstreams that die together say
// nothing of requests that many callers send.
const minGap = 2 * time.Second

// Entry is the death of an upstream while a request with the fingerprint was in progress on it.
type Entry struct {
	Fingerprint, Death uint64
	// Part is a finer fingerprint of the request, or 0. Deaths with the same part cause no quarantine of Fingerprint: they speak
	// against the requests of the part only.
	Part uint64
	// At is the time of the death.
	At time.Time
	// Deaths is the number of deaths of the fingerprint without an answer, with this one, or 0 if they aren't counted.
	Deaths int
	// answered reports whether a request with the fingerprint was answered afterwards. The entry stays, so that the same death
	// isn't added again.
	answered bool
}

// Table holds the two distinct deaths that count of each of at most limit fingerprints, and the last quarantines of as many. It isn't
// safe for concurrent use.
type Table struct {
	limit       int
	deaths      map[uint64]deaths
	quarantines map[uint64]period
	// early returns the part by which a quarantine of a fingerprint is shorter; nil stands for 0.
	early func(fingerprint uint64) float64
}

// period is the last quarantine of a fingerprint that was not answered since.
type period struct {
	duration time.Duration
	end      time.Time
	// deaths is the number of deaths without an answer.
	deaths int
}

// State describes the quarantine of a fingerprint.
type State struct {
	// Left is the time until its end, and Duration the whole time, which stays after the end as long as no request was answered. Both are
	// 0 if there was no quarantine.
	Left, Duration time.Duration
}

// deaths are two distinct deaths, oldest first; the zero Entry stands for none.
type deaths [2]Entry

// New returns an empty table for at most limit fingerprints.
func New(limit int) *Table {
	return &Table{limit: limit, deaths: make(map[uint64]deaths), quarantines: make(map[uint64]period)}
}

// SetEarly sets the part of a quarantine, below 1, by which the quarantines of each fingerprint are shorter than stated.
func (t *Table) SetEarly(early func(fingerprint uint64) float64) {
	t.early = early
}

// end returns the end of a quarantine of the duration after a death.
func (t *Table) end(fingerprint uint64, at time.Time, duration time.Duration) time.Time {
	if t.early != nil {
		duration -= time.Duration(t.early(fingerprint) * float64(duration))
	}
	return at.Add(duration)
}

// Add records a death and reports whether it was added. A time after now counts as now. A death is not added if it is
// already recorded or expired, or if the table is full of quarantined fingerprints.
func (t *Table) Add(e Entry, now time.Time) (added bool) {
	if e.At.After(now) {
		e.At = now
	}
	if now.Sub(e.At) >= 2*Span {
		return false
	}
	d, known := t.deaths[e.Fingerprint]
	if !known && !t.makeRoom(now) {
		return false
	}
	d, added = d.add(e)
	if added {
		t.deaths[e.Fingerprint] = d
		t.extendQuarantine(e, d)
	}
	return added
}

// extendQuarantine begins or extends the quarantine of the fingerprint after a death that was added.
func (t *Table) extendQuarantine(e Entry, d deaths) {
	last, isKnown := t.quarantines[e.Fingerprint]
	switch {
	case isKnown && e.At.Before(last.end):
		last.deaths++
		if isMany := last.deaths >= manyDeaths || e.Deaths >= manyTogether; isMany && last.duration == Span {
			last.duration *= quarantineGrowth
		}
		last.end = later(last.end, t.end(e.Fingerprint, e.At, last.duration))
	case isKnown:
		last.deaths++
		last.duration = min(last.duration*quarantineGrowth, maxQuarantine)
		last.end = t.end(e.Fingerprint, e.At, last.duration)
	case d.areRelated():
		last = period{duration: Span, deaths: max(len(d), e.Deaths)}
		if last.deaths >= manyTogether {
			last.duration *= quarantineGrowth
		}
		last.end = t.end(e.Fingerprint, d[1].At, last.duration)
		t.limitQuarantines()
	default:
		return
	}
	t.quarantines[e.Fingerprint] = last
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// limitQuarantines makes room for one more quarantine. If there are too many, the one that ends first is forgotten.
func (t *Table) limitQuarantines() {
	if len(t.quarantines) < t.limit {
		return
	}
	var first uint64
	var end time.Time
	for f, q := range t.quarantines {
		if end.IsZero() || q.end.Before(end) {
			first, end = f, q.end
		}
	}
	delete(t.quarantines, first)
}

// Quarantine returns the state of the quarantine of the fingerprint at the time now.
func (t *Table) Quarantine(fingerprint uint64, now time.Time) State {
	if last, isKnown := t.quarantines[fingerprint]; isKnown {
		return State{Left: max(last.end.Sub(now), 0), Duration: last.duration}
	}
	if d := t.deaths[fingerprint]; d.level(now) == Quarantined {
		return State{Left: d[1].At.Add(Span).Sub(now), Duration: Span}
	}
	return State{}
}

// Level returns the level of the fingerprint at the time now.
func (t *Table) Level(fingerprint uint64, now time.Time) Level {
	if now.Before(t.quarantines[fingerprint].end) {
		return Quarantined
	}
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
			if !e.At.IsZero() && !e.answered && now.Sub(e.At) < 2*Span {
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
		} else if t.Level(f, now) != Quarantined && (at.IsZero() || d[1].At.Before(at)) {
			oldest, at = f, d[1].At
		}
	}
	if len(t.deaths) >= t.limit && !at.IsZero() {
		delete(t.deaths, oldest)
	}
	return len(t.deaths) < t.limit
}

// add returns the two of the deaths and e that count, and reports whether e is new and one of them. These are the latest two, but of
// deaths that came together the first one stays: a request that crashes upstreams at short intervals would never have two
// deaths that are far enough apart otherwise.
func (d deaths) add(e Entry) (deaths, bool) {
	if !d[1].At.IsZero() && d[1].Death == e.Death || !d[0].At.IsZero() && d[0].Death == e.Death {
		return d, false
	}
	for i, other := range d {
		if e.Part == 0 || other.At.IsZero() || other.Part != e.Part {
			continue
		}
		// The later death of the part stands for it.
		if before(e, other) {
			return d, false
		}
		rest := d[1-i]
		if rest.At.IsZero() || before(rest, e) {
			return deaths{rest, e}, true
		}
		return deaths{e, rest}, true
	}
	switch {
	case !before(e, d[1]) && d.areTogether() && e.At.Sub(d[0].At) <= Span:
		return deaths{d[0], e}, true
	case !before(e, d[1]):
		return deaths{d[1], e}, true
	case !before(e, d[0]) && d.areRelated() && (deaths{e, d[1]}).areTogether():
		return d, false
	case !before(e, d[0]):
		return deaths{e, d[1]}, true
	default:
		return d, false
	}
}

func before(a, b Entry) bool {
	return a.At.Before(b.At) || a.At.Equal(b.At) && a.Death < b.Death
}

// level returns the level that follows from the latest two deaths without an earlier quarantine. Earlier deaths can be
// ignored: the quarantine caused by an earlier pair ends no later than the suspicion caused by the latest death, unless the
// latest death is part of a pair itself.
func (d deaths) level(now time.Time) Level {
	switch {
	case d.expired(now) || d[1].answered && (d[0].At.IsZero() || d[0].answered):
		return Clear
	case d.areRelated():
		return Quarantined
	default:
		return Suspect
	}
}

// areRelated reports whether there are two deaths that cause a quarantine together.
func (d deaths) areRelated() bool {
	if d[0].At.IsZero() || d[0].answered || d[1].answered {
		return false
	}
	return d[1].At.Sub(d[0].At) <= Span && !d.areTogether()
}

// areTogether reports whether there are two deaths with different parts, of which none was answered, that are too close to cause a
// quarantine together.
func (d deaths) areTogether() bool {
	if d[0].At.IsZero() || d[0].answered || d[1].answered || d[0].Part == 0 || d[1].Part == 0 {
		return false
	}
	return d[1].At.Sub(d[0].At) < minGap
}

func (d deaths) expired(now time.Time) bool {
	return d[1].At.IsZero() || now.Sub(d[1].At) >= Span
}

// MarkAnswered clears the fingerprint of the deaths so far. It is called when an upstream has answered the request, which shows that
// the request does not crash the upstreams that run it.
func (t *Table) MarkAnswered(fingerprint uint64) {
	delete(t.quarantines, fingerprint)
	d, known := t.deaths[fingerprint]
	if !known {
		return
	}
	d[0].answered, d[1].answered = true, true
	t.deaths[fingerprint] = d
}
