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
	// coldMemory is the time after the end of a stated cold time in which an older statement of the entry doesn't count again.
	coldMemory = 10 * time.Second
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
	// polled holds the latest health answers while tracksPolls is set.
	polled      map[string]poll
	tracksPolls atomic.Bool
}

// poll is the time at which a health answer was asked for, and the incarnation that gave it.
type poll struct {
	startedMS int64
	askedAt   time.Time
}

// entry holds the notices of one incarnation of an upstream.
type entry struct {
	startedMS int64

	limit    float64
	hasLimit bool
	// limitSince, limitSeen and limitEnd are the times of the first and the latest answer with the limit, and of the first
	// one without it.
	limitSince, limitSeen, limitEnd time.Time

	// warmAt is the end of the cold time that an answer stated, or zero, and entryWarmAt is what the upstream's entry stated then.
	warmAt, entryWarmAt time.Time
	statesCold          bool

	leaving     bool
	pausedUntil time.Time
	// unknownSince is the time from which on the upstream isn't known, or zero.
	unknownSince time.Time
	// unreadable is the text of the last error that was logged.
	unreadable string
}

// New returns an empty table that logs when a notice begins and ends.
func New(log *logrus.Entry) *Table {
	return &Table{log: log, all: make(map[string]*entry), polled: make(map[string]poll)}
}

// Record records the notice of an answer of the upstream.
func (t *Table) Record(u roster.Upstream, n Notice, now time.Time) {
	saysWarm := n.HasCold && n.Cold == 0 && !now.Before(u.WarmAt)
	if saysWarm && t.size.Load() == 0 {
		n.HasCold = false
	}
	if n == (Notice{}) && t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateSize()
	if saysWarm && t.all[u.ID] == nil {
		n.HasCold = false
	}
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
	if n.HasCold {
		e.recordCold(u, n, now, log)
	}
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

// TrackPolls sets whether the times of health answers are recorded, which only services with cold upstreams need.
func (t *Table) TrackPolls(isOn bool) {
	t.tracksPolls.Store(isOn)
}

// RecordHealth is like Record for a health answer that was asked for at the time. While polls are tracked, one that states no cold time
// states that the upstream is warm.
func (t *Table) RecordHealth(u roster.Upstream, n Notice, askedAt, now time.Time) {
	if !t.tracksPolls.Load() {
		t.Record(u, n, now)
		return
	}
	n.HasCold = n.ColdErr == nil
	t.Record(u, n, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.polled[u.ID]; old.startedMS != u.StartedMS || askedAt.After(old.askedAt) {
		t.polled[u.ID] = poll{u.StartedMS, askedAt}
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

// recordCold begins, changes or ends the cold time.
func (e *entry) recordCold(u roster.Upstream, n Notice, now time.Time, log *logrus.Entry) {
	if wasCold := now.Before(e.warmAt) || !e.statesCold && now.Before(u.WarmAt); n.Cold > 0 && !wasCold {
		log.WithField("for-ms", n.Cold.Milliseconds()).Info("upstream states that it is cold")
	}
	e.warmAt, e.entryWarmAt, e.statesCold = now.Add(n.Cold), u.WarmAt, true
}

// warmAtOf returns the time at which the upstream is warm by the newer of its entry and its answers. An entry that has changed since
// the answer can be older than it all the same, because entries arrive late, so the later time counts then.
func (e *entry) warmAtOf(u roster.Upstream) time.Time {
	switch {
	case !e.statesCold:
		return u.WarmAt
	case u.WarmAt.Equal(e.entryWarmAt) || u.WarmAt.Before(e.warmAt):
		return e.warmAt
	default:
		return u.WarmAt
	}
}

// logUnreadable logs statements that can't be read, each text once in succession.
func (e *entry) logUnreadable(n Notice, log *logrus.Entry) {
	for _, err := range []error{n.LimitErr, n.RetryAfterErr, n.ColdErr} {
		if err != nil && err.Error() != e.unreadable {
			e.unreadable = err.Error()
			log.WithError(err).Warn("cannot read a statement of the upstream; ignoring it")
		}
	}
}

// Get returns what holds for the upstream.
func (t *Table) Get(u roster.Upstream, now time.Time) State {
	if t.size.Load() == 0 && !t.tracksPolls.Load() {
		return State{WarmAt: u.WarmAt}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{WarmAt: u.WarmAt}
	if p := t.polled[u.ID]; p.startedMS == u.StartedMS {
		s.PolledAt = p.askedAt
	}
	e := t.all[u.ID]
	if e == nil || e.startedMS != u.StartedMS {
		return s
	}
	s.Leaving, s.PausedFor, s.WarmAt = e.leaving, max(e.pausedUntil.Sub(now), 0), e.warmAtOf(u)
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
		if !e.hasLimit && !e.leaving && e.pausedUntil.IsZero() && !now.Before(e.warmAt.Add(coldMemory)) {
			delete(t.all, id)
		}
	}
	for id := range t.polled {
		if !t.tracksPolls.Load() || !isKnown(id) {
			delete(t.polled, id)
		}
	}
}

// updateSize sets size; the caller holds mu.
func (t *Table) updateSize() { t.size.Store(int64(len(t.all))) }
