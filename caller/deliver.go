package caller

import (
	"context"

	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// deliver sends the call to the first reachable address and, if the outcome allows a retry, to one more.
func (c *Caller) deliver(ctx context.Context, call Call) outcome.Outcome {
	addresses, err := c.Addresses(ctx, call.Service)
	if err != nil {
		return finalOutcome(nil, priorOutcome(call), undelivered(ctx, err.Error()))
	}
	// An earlier delivery with an unknown outcome may have run, so that outcome takes precedence over a later "not run".
	prior := priorOutcome(call)
	var last outcome.Outcome
	detail := "no address was reachable"
	attempts := 0
	for _, to := range c.order(addresses) {
		attempt := call
		if !call.Idempotent && attempt.Key == "" {
			attempt.Key = addresses.key(to).String()
		}
		out, delivered := c.send(ctx, to, attempt)
		if !delivered {
			if n, ok := out.(outcome.NotRun); ok {
				detail = n.Detail
			}
			if ctx.Err() != nil {
				break
			}
			continue
		}
		last = out
		if u, ok := out.(outcome.Unknown); ok && prior == nil {
			prior = u
		}
		if attempts++; attempts == 2 || ctx.Err() != nil || !retryable(call, out) {
			break
		}
		// After an unknown outcome, a non-idempotent call may only be sent again with the same key.
		if _, ok := out.(outcome.Unknown); ok {
			call.Key = attempt.Key
		}
	}
	return finalOutcome(last, prior, undelivered(ctx, detail))
}

// priorOutcome returns an unknown outcome for a call whose key was sent before, or nil for others.
func priorOutcome(call Call) outcome.Outcome {
	if call.Key != "" && call.Repeat {
		return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: "the key was sent before"}
	}
	return nil
}

// undelivered returns the outcome of a call of which no byte was written to a connection.
func undelivered(ctx context.Context, detail string) outcome.Outcome {
	if ctx.Err() != nil {
		return outcome.NotRun{Reason: outcome.DeadlineUnreachable, Detail: detail}
	}
	return outcome.NotRun{Reason: outcome.Unreachable, Detail: detail}
}

// finalOutcome returns the outcome of all deliveries: the last one, unless it is "not run" after an unknown one, and
// fallback if there was no delivery.
func finalOutcome(last, prior, fallback outcome.Outcome) outcome.Outcome {
	if last == nil {
		last = fallback
	}
	if _, notRun := last.(outcome.NotRun); notRun && prior != nil {
		return prior
	}
	return last
}

// retryable reports whether a retry at another address may succeed. Reasons that hold at every address, or after which
// the home has already used the retry budget, are final, because retries at several levels multiply.
func retryable(call Call, out outcome.Outcome) bool {
	switch out := out.(type) {
	case outcome.NotRun:
		switch out.Reason {
		case outcome.Isolated, outcome.NotReady, outcome.Unreachable:
			return true
		case outcome.LedgerFull:
			return call.Key == ""
		}
	case outcome.Unknown:
		if !call.Idempotent && !call.Repeat {
			return false
		}
		switch out.Reason {
		case outcome.ConnectionLost, outcome.Truncated, outcome.Mismatched, outcome.HomeGone:
			return true
		}
	}
	return false
}
