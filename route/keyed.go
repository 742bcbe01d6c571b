package route

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/ledger"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// runKeyed runs a non-idempotent request whose key names this incarnation, unless the key was used before.
func (r *Router) runKeyed(ctx context.Context, k key.Key, req *request.Request) outcome.Outcome {
	for {
		switch e := r.config.Ledger.Begin(k, req.Fingerprint(), time.Now()).(type) {
		case ledger.Started:
			return r.startKeyed(ctx, k, req)
		case ledger.Finished:
			return e.Outcome
		case ledger.Refused:
			return outcome.NotRun{Reason: e.Reason, Detail: "Fulmarhitch-Key"}
		case ledger.Running:
			if !wait(ctx, e.Done, req.Deadline) {
				return outcome.Unknown{Reason: outcome.Timeout, Detail: "the first request with this key still runs"}
			}
		}
	}
}

// startKeyed runs the request independently of its caller's connection: if the caller disconnects and repeats the key,
// the repeat gets this outcome.
func (r *Router) startKeyed(ctx context.Context, k key.Key, req *request.Request) outcome.Outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	defer cancel()
	// If a panic ends the request early, it is unknown whether the request ran.
	out := outcome.Outcome(outcome.Unknown{Reason: outcome.ConnectionLost})
	defer func() { r.config.Ledger.Finish(k, out) }()
	out = r.runAtHome(ctx, req)
	return out
}

// wait reports whether done was closed before the deadline and before ctx was done.
func wait(ctx context.Context, done <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// sendToIncarnation sends a non-idempotent request to the one incarnation that may run it. If that one can't be
// reached, the outcome is unknown, because an earlier request with the key may have run there.
func (r *Router) sendToIncarnation(ctx context.Context, k key.Key, req *request.Request) outcome.Outcome {
	m, ok := r.findIncarnation(key.FormatIncarnation(k.Incarnation))
	if !ok {
		return outcome.Unknown{Reason: outcome.HomeGone, Detail: "no live entry VM has the key's incarnation"}
	}
	out, _, err := r.send(ctx, m, peerpb.RunRequest_MODE_KEY, "", req)
	switch {
	case err == nil:
		return out
	case errors.Is(err, peer.ErrUnsent):
		return outcome.Unknown{Reason: outcome.HomeGone, Detail: "the key's entry VM can't be reached"}
	default:
		return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: "the key's entry VM did not answer"}
	}
}

func (r *Router) findIncarnation(incarnation string) (member.Member, bool) {
	for _, m := range r.config.Live() {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return member.Member{}, false
}
