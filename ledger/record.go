package ledger

import (
	"bytes"
	"time"

	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// windowLength is the length of a window of expiry times. A key is held for up to one window after its expiry, and each
// shard has at most MaxAhead/windowLength+2 windows.
const windowLength = 8 * time.Second

// keyID is a key without its incarnation, which is the same for all keys of a ledger.
type keyID struct {
	random [16]byte
	expiry int64
}

// record is the state of one key. Together with its keyID it takes 48 bytes.
type record struct {
	fingerprint uint64
	// state is nil while the request runs without waiters, a chan struct{} while it runs with waiters, and the outcome
	// after it has ended.
	state any
}

func windowOf(k key.Key) int64 { return k.Expiry / windowLength.Milliseconds() }

func newKeyID(k key.Key) keyID { return keyID{random: k.Random, expiry: k.Expiry} }

func (r record) running() bool {
	_, finished := r.state.(outcome.Outcome)
	return !finished
}

func (r record) notify() {
	if done, ok := r.state.(chan struct{}); ok {
		close(done)
	}
}

// repeat returns the entry for a key that is already recorded.
func (s *shard) repeat(w int64, id keyID, r record, fingerprint uint64) Entry {
	if r.fingerprint != fingerprint {
		return Refused{outcome.KeyReused}
	}
	switch state := r.state.(type) {
	case outcome.Outcome:
		return Finished{state}
	case chan struct{}:
		return Running{state}
	default:
		done := make(chan struct{})
		r.state = done
		s.windows[w][id] = r
		return Running{done}
	}
}

// expire drops the windows that ended at or before the time in ms. Running requests are dropped too: a repeat of their
// key gets the outcome for an expired key.
func (s *shard) expire(l *Ledger, ms int64) {
	for w, records := range s.windows {
		if (w+1)*windowLength.Milliseconds() > ms {
			continue
		}
		for _, r := range records {
			r.notify()
			l.keptBytes.Add(-size(r.state))
		}
		l.keyCount.Add(-int64(len(records)))
		delete(s.windows, w)
	}
}

// keep returns the part of the outcome to store.
func (l *Ledger) keep(out outcome.Outcome) outcome.Outcome {
	a, ok := out.(outcome.Answered)
	if !ok {
		return out
	}
	n := size(a)
	if n > MaxKept+answerOverhead {
		return notKept
	}
	if l.keptBytes.Add(n) > MaxKeptTotal {
		l.keptBytes.Add(-n)
		return notKept
	}
	return outcome.Answered{Status: a.Status, Header: a.Header.Clone(), Body: bytes.Clone(a.Body)}
}

// notKept is a single shared value, so that it takes no memory for each key.
var notKept outcome.Outcome = outcome.Unknown{Reason: outcome.AnswerNotKept}

// Memory overhead of an answer and of each header value in addition to their text, in bytes, rounded up.
const (
	answerOverhead = 128
	headerOverhead = 64
)

// size returns the memory size of an answer in bytes, or 0 for any other state.
func size(state any) int64 {
	a, ok := state.(outcome.Answered)
	if !ok {
		return 0
	}
	n := answerOverhead + len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += headerOverhead + len(name) + len(v)
		}
	}
	return int64(n)
}
