package ledger

import (
	"bytes"
	"time"

	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// span is the length of a window. A key is held for up to one span after its expiry, and MaxAhead/span+2 windows
// exist at most in each shard.
const span = 8 * time.Second

// id is a key without its incarnation, which is the ledger's.
type id struct {
	random [16]byte
	expiry int64
}

// record is the state of one key. Together with its id it takes 48 bytes.
type record struct {
	fingerprint uint64
	// state is nil while the request runs without waiters, a chan struct{} while it runs with some, and then the
	// outcome.
	state any
}

func window(k key.Key) int64 { return k.Expiry / span.Milliseconds() }

func identify(k key.Key) id { return id{random: k.Random, expiry: k.Expiry} }

func (r record) running() bool {
	_, finished := r.state.(outcome.Outcome)
	return !finished
}

func (r record) wake() {
	if done, ok := r.state.(chan struct{}); ok {
		close(done)
	}
}

// repeat answers a key that is recorded.
func (s *shard) repeat(w int64, i id, r record, fingerprint uint64) Entry {
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
		s.windows[w][i] = r
		return Running{done}
	}
}

// expire forgets the windows that ended before the time in ms. Requests that still run are forgotten too: a repeat
// of their key is answered by its expiry.
func (s *shard) expire(l *Ledger, ms int64) {
	for w, records := range s.windows {
		if (w+1)*span.Milliseconds() > ms {
			continue
		}
		for _, r := range records {
			r.wake()
			l.kept.Add(-size(r.state))
		}
		l.keys.Add(-int64(len(records)))
		delete(s.windows, w)
	}
}

// keep returns what is remembered of the outcome.
func (l *Ledger) keep(out outcome.Outcome) outcome.Outcome {
	a, ok := out.(outcome.Answered)
	if !ok {
		return out
	}
	n := size(a)
	if n > MaxKept+answerOverhead {
		return notKept
	}
	if l.kept.Add(n) > MaxKeptTotal {
		l.kept.Add(-n)
		return notKept
	}
	return outcome.Answered{Status: a.Status, Header: a.Header.Clone(), Body: bytes.Clone(a.Body)}
}

// notKept is one value for all keys, so that it costs no memory for each.
var notKept outcome.Outcome = outcome.Unknown{Reason: outcome.AnswerNotKept}

// Memory of an answer and of each header value beside their text, in bytes, rounded up.
const (
	answerOverhead = 128
	headerOverhead = 64
)

// size returns the size of an answer in bytes and 0 for every other state.
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
