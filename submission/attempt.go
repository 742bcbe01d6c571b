package submission

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/finding"
	"github.com/fulmarhitch/fulmarhitch/store"
)

// attempt is one submission in progress.
type attempt struct {
	acceptor *Acceptor
	text     []byte
	digest   uint64
	base     uint64
	id       string

	// uncertain reports whether a swap with an unknown result was sent.
	uncertain bool
}

// swap is a prepared compare-and-swap, which may be sent repeatedly.
type swap struct {
	next   envelope.Envelope
	data   []byte
	expect uint64
}

// errConflict marks a swap that found another version; the store is then read again.
var errConflict = errors.New("submission: the store's version changed")

// run reads and swaps until the result is definite. The stored history can show that the file was accepted, but not
// that a swap with an unknown result failed, because that swap may still take effect. Only sending the same swap again
// or a later generation in the store can show that.
func (t *attempt) run(ctx context.Context) Result {
	pause := backoff.New(minPause, maxPause)
	for failures := 1; ; failures++ {
		s, result, cause := t.prepare(ctx)
		if result == nil && cause == nil {
			result, cause = t.send(ctx, s)
		}
		if result != nil {
			return result
		}
		if !t.uncertain && failures == maxFailures || !pause.Wait(ctx) {
			return t.failed(cause)
		}
	}
}

func (t *attempt) failed(cause error) Result {
	if t.uncertain {
		return Undecided{Cause: cause}
	}
	return Unavailable{Cause: cause}
}

// prepare reads the store and returns the result if the store already shows it, the swap to send, or the cause of a
// temporary failure.
func (t *attempt) prepare(ctx context.Context) (swap, Result, error) {
	// The highest generation is taken before the read, because one announced during the read does not mean that the
	// store is behind.
	highest := t.acceptor.highest()
	v, err := t.acceptor.store.Get(ctx, envelope.Key)
	if err != nil {
		return swap{}, nil, err
	}
	var e envelope.Envelope
	if v.Version != 0 {
		if e, err = envelope.Decode(v.Data); err != nil {
			return swap{}, t.failed(errors.Wrap(err, "submission: the store's configuration is not readable")), nil
		}
		t.acceptor.install(e)
	}
	if e.Generation < highest {
		return t.refuseBehind(errors.Wrapf(ErrBehind, "generation %d in the store, %d in the fleet", e.Generation, highest))
	}
	if result := t.storedResult(e); result != nil {
		return swap{}, result, nil
	}
	next := e.Next(t.id, t.text)
	data, err := envelope.Encode(next)
	if err != nil {
		return swap{}, t.failed(err), nil
	}
	if len(data) > store.MaxValue {
		return swap{}, Invalid{Findings: []finding.Finding{tooLarge(len(data), store.MaxValue)}}, nil
	}
	return swap{next: next, data: data, expect: v.Version}, nil, nil
}

// refuseBehind refuses the submission, or retries if the result of an earlier swap is still unknown.
func (t *attempt) refuseBehind(cause error) (swap, Result, error) {
	if t.uncertain {
		return swap{}, nil, cause
	}
	return swap{}, Unavailable{Cause: cause}, nil
}

// storedResult returns the result that follows from the stored envelope, or nil if the swap can be sent.
func (t *attempt) storedResult(e envelope.Envelope) Result {
	if entry, found := e.Find(t.id); found {
		if entry.Digest != t.digest {
			return Invalid{Findings: []finding.Finding{{Place: "submission",
				Message: "the identifier was used for another file"}}}
		}
		return Accepted{Generation: entry.Generation}
	}
	switch {
	case e.Generation == t.base:
		return nil
	case e.Generation < t.base || e.Covers(t.base+1):
		return BaseMismatch{Expected: t.base, Found: e.Generation}
	default:
		// This may repeat a submission that was accepted and has since been dropped from the history.
		return Undecided{Cause: errors.Newf("submission: the history of generation %d no longer holds generation %d",
			e.Generation, t.base+1)}
	}
}

// send sends the swap once and returns the result, or the cause of a failure after which to read and swap
// again.
func (t *attempt) send(ctx context.Context, s swap) (Result, error) {
	switch r := t.acceptor.store.Put(ctx, envelope.Key, s.expect, s.data).(type) {
	case store.Swapped:
		t.acceptor.install(s.next)
		return Accepted{Generation: s.next.Generation}, nil
	case store.Conflict:
		return nil, errConflict
	case store.Uncertain:
		t.uncertain = true
		return nil, r.Cause
	case store.Rejected:
		if !r.Temporary {
			return t.failed(r.Cause), nil
		}
		return nil, r.Cause
	default:
		return nil, errors.Newf("submission: result %T of the store", r)
	}
}
