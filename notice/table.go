package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// endedPeriod is the time for which a limit that has ended is remembered, so that the load can return gradually.
	endedPeriod = 5 * time.Second
	// unknownPeriod is the time for which the notices of an upstream are kept that is no longer known. Its entry may return, while
	// an upstream that leaves goes on serving for many seconds.
	unknownPeriod = 10 * time.Minute
)

// Table holds the notices of upstreams. It is safe for concurrent use.
type Table struct {
	log *logrus.Entry

	mu  sync.Mutex
	all map[string]*entry
	// size is the number of entries, which is mostly 0.
	size atomic.Int64
}

// entry holds the notices of one incarnation of an upstream.
type entry struct {
	startedMS int64

	limit    float64
	hasLimit bool
	// limitSince, limitSeen and limitEnd are the times of the first and the latest answer with the limit, and of the first
	// one without it.
	limitSince, limitSeen, limitEnd time.Time

	leaving     bool
	pausedUntil time.Time
	// unknownSince is the time from which on the upstream isn't known, or zero.
	unknownSince time.Time
	// unreadable is the text of the last error that was logged.
	unreadable string
}

// New returns an empty table that logs when a notice begins and ends.
func New(log *logrus.Entry) *Table {
	return &Table{log: log, all: make(map[string]*entry)}
}

// Record records the notice of an answer of the upstream.
func (t *Table) Record(u roster.Upstream, n Notice, now time.Time) {
	if n == (Notice{}) && t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateSize()
	if e := t.all[u.ID]; n == (Notice{}) && (e == nil || e.startedMS < u.StartedMS) {
		delete(t.all, u.ID)
		return
	}
	e := t.entryOf(u)
	if e == nil {
		return
	}
	log := t.log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service})
	e.logUnreadable(n, log)
	if n.LimitErr == nil {
		e.recordLimit(n, now, log)
	}
	if n.Leaving && !e.leaving {
		e.leaving = true
		log.Info("upstream states that it leaves")
	}
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(e.pausedUntil) {
		if e.pausedUntil.IsZero() {
			log.WithField("for-ms", n.RetryAfter.Milliseconds()).Info("upstream wants no requests for a time")
		}
		e.pausedUntil = until
	}
}

// RecordLeaving records that the upstream leaves, as another VM has been told.
func (t *Table) RecordLeaving(u roster.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateSize()
	if e := t.entryOf(u); e != nil && !e.leaving {
		e.leaving = true
		t.log.WithField("upstream", u.ID).Info("upstream states to another VM that it leaves")
	}
}

// entryOf returns the entry of the upstream's incarnation, which it creates if it is new, or nil if a later one is known; the caller
// holds mu.
func (t *Table) entryOf(u roster.Upstream) *entry {
	e := t.all[u.ID]
	if e != nil && u.StartedMS < e.startedMS {
		return nil
	}
	if e == nil || e.startedMS != u.StartedMS {
		e = &entry{startedMS: u.StartedMS}
		t.all[u.ID] = e
	}
	return e
}

// recordLimit begins, changes, confirms or ends the limit.
func (e *entry) recordLimit(n Notice, now time.Time, log *logrus.Entry) {
	holds := e.hasLimit && e.limitEnd.IsZero()
	switch {
	case n.HasLimit:
		if !holds {
			e.limitSince = now
		}
		if !holds || e.limit != n.Limit {
			log.WithField("limit", n.Limit).Info("upstream states a limit")
		}
		e.limit, e.hasLimit, e.limitSeen, e.limitEnd = n.Limit, true, now, time.Time{}
	case holds:
		e.limitEnd = now
		log.WithFields(logrus.Fields{"limit": e.limit, "held-ms": now.Sub(e.limitSince).Milliseconds()}).Info("upstream no longer states a limit")
	}
}

// logUnreadable logs statements that can't be read, each text once in succession.
func (e *entry) logUnreadable(n Notice, log *logrus.Entry) {
	for _, err := range []error{n.LimitErr, n.RetryAfterErr} {
		if err != nil && err.Error() != e.unreadable {
			e.unreadable = err.Error()
			log.WithError(err).Warn("cannot read a statement of the upstream; ignoring it")
		}
	}
}

// Get returns what holds for the upstream.
func (t *Table) Get(u roster.Upstream, now time.Time) State {
	if t.size.Load() == 0 {
		return State{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.all[u.ID]
	if e == nil || e.startedMS != u.StartedMS {
		return State{}
	}
	s := State{Leaving: e.leaving, PausedFor: max(e.pausedUntil.Sub(now), 0)}
	if e.hasLimit {
		s.Limit, s.HasLimit, s.LimitAge = e.limit, true, now.Sub(e.limitSeen)
		if !e.limitEnd.IsZero() {
			s.LimitEnded = max(now.Sub(e.limitEnd), 1)
		}
	}
	return s
}

// IsPaused reports whether the upstream with the ID wants no requests from this VM.
func (t *Table) IsPaused(id string, now time.Time) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.all[id]
	return e != nil && now.Before(e.pausedUntil)
}

// Counts returns the numbers of upstreams for which a notice holds, by its kind.
func (t *Table) Counts() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]uint64{"limit": 0, "leaving": 0, "pause": 0}
	for _, e := range t.all {
		if e.hasLimit && e.limitEnd.IsZero() {
			counts["limit"]++
		}
		if e.leaving {
			counts["leaving"]++
		}
		if !e.pausedUntil.IsZero() {
			counts["pause"]++
		}
	}
	return counts
}

// Expire ends pauses whose time has passed, and drops ended limits and upstreams that haven't been known for long.
func (t *Table) Expire(isKnown func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateSize()
	for id, e := range t.all {
		switch {
		case isKnown(id):
			e.unknownSince = time.Time{}
		case e.unknownSince.IsZero():
			e.unknownSince = now
		case now.Sub(e.unknownSince) > unknownPeriod:
			delete(t.all, id)
			continue
		}
		if !e.pausedUntil.IsZero() && !now.Before(e.pausedUntil) {
			e.pausedUntil = time.Time{}
			t.log.WithField("upstream", id).Info("upstream takes requests again")
		}
		if !e.limitEnd.IsZero() && now.Sub(e.limitEnd) > endedPeriod {
			e.hasLimit, e.limitEnd = false, time.Time{}
		}
		if !e.hasLimit && !e.leaving && e.pausedUntil.IsZero() {
			delete(t.all, id)
		}
	}
}

// updateSize sets size; the caller holds mu.
func (t *Table) updateSize() { t.size.Store(int64(len(t.all))) }
