package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/boottime"
	"github.com/fulmarhitch/fulmarhitch/mirror"
)

// maxRemoved is the number of removals that are kept; a follower that needs older ones gets all entries.
const maxRemoved = 1000

// Log holds the entries of the store as this VM knows them, and the latest removals. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	entries map[string]mirror.Entry
	removed []mirror.Entry
	// era is the number of the store's history to which the revisions belong.
	era, revision uint64
	// compacted is the revision before which removals may be unknown.
	compacted uint64
	// lastContact is the time of the last contact with the store; fresh is false once that contact is lost.
	lastContact time.Time
	fresh       bool
	// confirmed is the time on clock at which the call of the store was sent that the entries come from, if isConfirmed is true.
	confirmed   time.Duration
	isConfirmed bool
	clock       func() time.Duration
	// reader is the incarnation of the VM that called the store for the entries.
	reader string
	// outageEnd is the end of the last outage of the store.
	outageEnd time.Time
	changed   chan struct{}
}

// NewLog returns an empty log without contact with the store.
func NewLog() *Log {
	return NewLogWithClock(boottime.Now)
}

// NewLogWithClock is like NewLog with the clock of the mirror whose batches are added.
func NewLogWithClock(clock func() time.Duration) *Log {
	return &Log{entries: make(map[string]mirror.Entry), changed: make(chan struct{}), clock: clock}
}

// replace removes the entries that are not in a whole batch; the caller holds mu. Followers get these removals as changes,
// so that they need not read all entries as well.
func (l *Log) replace(b mirror.Batch) {
	if l.revision == 0 || b.Era != l.era || b.Revision < l.revision {
		clear(l.entries)
		l.removed, l.compacted = nil, b.Revision
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

// Add adds a batch; lastContact is the time of the source's last contact with the store. Changes of another history than that
// of the entries must not be added.
func (l *Log) Add(b mirror.Batch, lastContact time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact, l.fresh, l.outageEnd = lastContact, true, b.OutageEnd
	l.confirmed, l.isConfirmed, l.reader = b.Confirmed, b.IsConfirmed, b.Reader
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
		l.compacted = l.removed[n-1].Revision
		l.removed = slices.Clone(l.removed[n:])
	}
	if b.Whole || b.Revision > l.revision {
		l.era, l.revision = b.Era, b.Revision
	}
	if b.Whole || len(b.Entries) > 0 {
		l.notify()
	}
}

// Lost records that there is no contact with the store any more, and ends the waits of the followers.
func (l *Log) Lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fresh {
		l.fresh = false
		l.notify()
	}
}

// notify ends the waits; the caller holds mu.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the changes after the position, waiting for one until ctx is done, interrupt is closed or the contact with
// the store is lost. After revision 0, one after which removals may be unknown, or one of an earlier era, it returns all
// entries; a log without any waits for them. For a position of a later era it returns no changes. A position without an era
// counts as one of the log's. Since also reports whether there is contact with the store.
func (l *Log) Since(ctx context.Context, after mirror.Position, interrupt <-chan struct{}) (b mirror.Batch, fresh bool) {
	for {
		b, fresh, changed := l.changesSince(after)
		if b.Revision > 0 && (b.Whole || len(b.Entries) > 0 || !fresh || b.Era < after.Era) {
			return b, fresh
		}
		select {
		case <-changed:
			continue
		case <-interrupt:
		case <-ctx.Done():
		}
		// The batch has to state the age at the end of the wait.
		b, fresh, _ = l.changesSince(after)
		return b, fresh
	}
}

// changesSince returns the changes after the revision, whether there is contact with the store, and a channel that closes
// at the next change.
func (l *Log) changesSince(after mirror.Position) (mirror.Batch, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after.Era == 0 {
		after.Era = l.era
	}
	b := mirror.Batch{
		Era: l.era, Revision: l.revision, Age: time.Since(l.lastContact), OutageEnd: l.outageEnd, Confirmed: l.confirmed, IsConfirmed: l.isConfirmed,
		Reader: l.reader,
	}
	if after.Era > l.era {
		return b, l.fresh, l.changed
	}
	b.Whole = after.Revision == 0 || after.Revision < l.compacted || after.Era < l.era
	for _, e := range l.entries {
		if b.Whole || e.Revision > after.Revision {
			b.Entries = append(b.Entries, e)
		}
	}
	if !b.Whole {
		for _, e := range l.removed {
			if e.Revision > after.Revision {
				b.Entries = append(b.Entries, e)
			}
		}
	}
	slices.SortFunc(b.Entries, func(x, y mirror.Entry) int { return cmp.Compare(x.Revision, y.Revision) })
	return b, l.fresh, l.changed
}
