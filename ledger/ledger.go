package ledger

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

const (
	// MaxAhead is the maximum time from now to a key's expiry.
	MaxAhead = 180 * time.Second
	// MaxKept is the maximum size of a kept answer in bytes, header and body together; each header value counts 64
	// bytes more.
	MaxKept = 4 << 10
	// MaxKeptTotal is the maximum size of all kept answers in bytes, because a node has 128 MB for the control plane.
	// Above it, a repeat gets the outcome unknown with the reason answer-not-kept.
	MaxKeptTotal = 32 << 20

	shardCount = 64
)

// Ledger holds the used keys of one incarnation.
type Ledger struct {
	incarnation uint64
	limit       int64
	start       time.Time
	// latest is the latest time returned by Now in ms of Unix time, so that the ledger's time never runs backwards.
	latest    atomic.Int64
	keyCount  atomic.Int64
	keptBytes atomic.Int64
	shards    [shardCount]shard
}

// New returns an empty ledger of an incarnation that started at start. It holds at most limit keys.
// With 1e6 keys held, each takes about 110 bytes in addition to the kept answers.
func New(incarnation uint64, limit int, start time.Time) *Ledger {
	l := &Ledger{incarnation: incarnation, limit: int64(limit), start: start}
	l.latest.Store(start.UnixMilli())
	for i := range l.shards {
		l.shards[i].windows = make(map[int64]map[keyID]record)
	}
	return l
}

// Now returns the ledger's time: the start plus the monotonic time since then. It never runs backwards. It is
// sent to callers as now-ms with the addresses, so that keys expire by the same clock.
func (l *Ledger) Now(now time.Time) time.Time {
	ms := l.start.Add(now.Sub(l.start)).UnixMilli()
	for {
		latest := l.latest.Load()
		if ms <= latest {
			return time.UnixMilli(latest)
		}
		if l.latest.CompareAndSwap(latest, ms) {
			return time.UnixMilli(ms)
		}
	}
}

// Len returns the number of keys held.
func (l *Ledger) Len() int {
	return int(l.keyCount.Load())
}

// Begin records the key with the request's fingerprint, or returns the state of an earlier request with the key.
// The caller may run the request only after Started, and must then call Finish.
func (l *Ledger) Begin(k key.Key, fingerprint uint64, now time.Time) Entry {
	ms := l.Now(now).UnixMilli()
	switch {
	case k.Incarnation != l.incarnation:
		return Finished{outcome.Unknown{Reason: outcome.HomeGone, Detail: "the key belongs to another incarnation"}}
	case k.Expiry <= ms:
		return Finished{outcome.Unknown{Reason: outcome.KeyExpired}}
	case k.Expiry > ms+MaxAhead.Milliseconds():
		return Refused{outcome.BadRequest}
	}
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(l, ms)
	w, id := windowOf(k), newKeyID(k)
	if r, ok := s.windows[w][id]; ok {
		return s.repeat(w, id, r, fingerprint)
	}
	if !l.add(s, w, id, record{fingerprint: fingerprint}) {
		return Refused{outcome.LedgerFull}
	}
	return Started{}
}

// RecordRefusal records that a request with the key is refused before its processing begins, and returns the outcome for
// its caller. The outcome is the refusal only if no earlier request used the key and no later copy of this one can run.
func (l *Ledger) RecordRefusal(k key.Key, refusal outcome.NotRun, now time.Time) outcome.Outcome {
	ms := l.Now(now).UnixMilli()
	switch {
	case k.Incarnation != l.incarnation:
		return outcome.Unknown{Reason: outcome.HomeGone, Detail: string(refusal.Reason)}
	case k.Expiry <= ms:
		return outcome.Unknown{Reason: outcome.KeyExpired}
	case k.Expiry > ms+MaxAhead.Milliseconds():
		return refusal
	}
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(l, ms)
	w, id := windowOf(k), newKeyID(k)
	if r, ok := s.windows[w][id]; ok {
		if earlier, refused := r.state.(outcome.NotRun); refused {
			return earlier
		}
		return outcome.Unknown{Reason: outcome.KeyUsed, Detail: string(refusal.Reason)}
	}
	if !l.add(s, w, id, record{state: outcome.Outcome(refusal)}) {
		return outcome.Unknown{Reason: outcome.LedgerFull, Detail: string(refusal.Reason)}
	}
	return refusal
}

// add records a new key of the shard, which the caller has locked, and reports whether the ledger had room.
func (l *Ledger) add(s *shard, w int64, id keyID, r record) bool {
	if l.keyCount.Add(1) > l.limit {
		l.keyCount.Add(-1)
		return false
	}
	if s.windows[w] == nil {
		s.windows[w] = make(map[keyID]record)
	}
	s.windows[w][id] = r
	return true
}

// Finish records the outcome of the started request and notifies its waiters. A second call for the key is ignored.
// The ledger keeps a copy of an answer.
func (l *Ledger) Finish(k key.Key, out outcome.Outcome) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, id := windowOf(k), newKeyID(k)
	r, ok := s.windows[w][id]
	if !ok || !r.running() {
		return
	}
	r.notify()
	r.state = l.keep(out)
	s.windows[w][id] = r
}

func (l *Ledger) shard(k key.Key) *shard {
	return &l.shards[k.Random[0]%shardCount]
}

// Expire drops expired keys. Begin and RecordRefusal drop those in the shard of their own key; call Expire about once a second
// so that an idle ledger is emptied too.
func (l *Ledger) Expire(now time.Time) {
	ms := l.Now(now).UnixMilli()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.expire(l, ms)
		s.mu.Unlock()
	}
}

// shard is a part of the ledger with its own lock.
type shard struct {
	mu sync.Mutex
	// windows maps a window of expiry times to the keys that expire in it, so that a whole window is dropped at
	// once and the keys need not be kept sorted by expiry.
	windows map[int64]map[keyID]record
}
