package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/mirror"
)

// maxRemoved bounds the removals that are kept; a follower that needs older ones gets all entries.
const maxRemoved = 1000

// Log holds the entries of the store as this VM knows them, and the latest removals. It serves many goroutines.
type Log struct {
	mu       sync.Mutex
	entries  map[string]mirror.Entry
	removed  []mirror.Entry
	revision uint64
	// floor is the revision before which removals may be unknown.
	floor   uint64
	heard   time.Time
	fresh   bool
	changed chan struct{}
}

// NewLog returns an empty log that has never heard the store.
func NewLog() *Log {
	return &Log{entries: make(map[string]mirror.Entry), changed: make(chan struct{})}
}

// replace removes the entries that are not in a whole batch. Followers are told of these removals, so that they need not
// read all entries as well.
func (l *Log) replace(b mirror.Batch) {
	if l.revision == 0 || b.Revision < l.revision {
		clear(l.entries)
		l.removed, l.floor = nil, b.Revision
		return
	}
	listed := make(map[string]bool, len(b.Entries))
	for _, e := range b.Entries {
		listed[e.Key] = true
	}
	for key := range l.entries {
		if !listed[key] {
			delete(l.entries, key)
			l.removed = append(l.removed, mirror.Entry{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
}

// Take enters what a source told at the time heard.
func (l *Log) Take(b mirror.Batch, heard time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard, l.fresh = heard, true
	if b.Whole {
		l.replace(b)
	}
	for _, e := range b.Entries {
		if e.Deleted {
			delete(l.entries, e.Key)
			l.removed = append(l.removed, e)
			continue
		}
		l.entries[e.Key] = e
	}
	if n := len(l.removed) - maxRemoved; n > 0 {
		l.floor = l.removed[n-1].Revision
		l.removed = slices.Clone(l.removed[n:])
	}
	l.revision = max(l.revision, b.Revision)
	if b.Whole || len(b.Entries) > 0 {
		l.wake()
	}
}

// Lost tells the followers that wait that the source is not heard any more.
func (l *Log) Lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fresh {
		l.fresh = false
		l.wake()
	}
}

// wake ends the waits; the caller holds mu.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the changes after the revision, waiting for one until ctx is done or the source is lost. After revision
// 0, or one that removals may be missing for, it returns all entries.
func (l *Log) Since(ctx context.Context, after uint64) (b mirror.Batch, fresh bool) {
	for {
		b, fresh, changed := l.look(after)
		if b.Whole || len(b.Entries) > 0 || !fresh {
			return b, fresh
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// The age counts at the end of the wait.
			b, fresh, _ = l.look(after)
			return b, fresh
		}
	}
}

// look returns the changes after the revision and a channel that closes at the next one.
func (l *Log) look(after uint64) (mirror.Batch, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := mirror.Batch{Revision: l.revision, Whole: after == 0 || after < l.floor, Age: time.Since(l.heard)}
	for _, e := range l.entries {
		if b.Whole || e.Revision > after {
			b.Entries = append(b.Entries, e)
		}
	}
	if !b.Whole {
		for _, e := range l.removed {
			if e.Revision > after {
				b.Entries = append(b.Entries, e)
			}
		}
	}
	slices.SortFunc(b.Entries, func(x, y mirror.Entry) int { return cmp.Compare(x.Revision, y.Revision) })
	return b, l.fresh, l.changed
}
