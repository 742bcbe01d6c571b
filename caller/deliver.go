package caller

import (
	"context"

	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// deliver sends the call to the first reachable address and, if the outcome allows it, to one more.
func (c *Caller) deliver(ctx context.Context, call Call) outcome.Outcome {
	addresses, err := c.Addresses(ctx, call.Service)
	if err != nil {
		return conclude(nil, before(call), undelivered(ctx, err.Error()))
	}
	// An earlier delivery may have run, so that its unknown outcome outweighs a later "not run".
	earlier := before(call)
	var last outcome.Outcome
	detail := "no address was reachable"
	tries := 0
	for _, to := range c.order(addresses) {
		send := call
		if !call.Idempotent && send.Key == "" {
			send.Key = addresses.key(to).String()
		}
		out, delivered := c.reach(ctx, to, send)
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
		if u, ok := out.(outcome.Unknown); ok && earlier == nil {
			earlier = u
		}
		if tries++; tries == 2 || ctx.Err() != nil || !again(call, out) {
			break
		}
		// An unknown outcome of a non-idempotent call may only be followed by the same key.
		if _, ok := out.(outcome.Unknown); ok {
			call.Key = send.Key
		}
	}
	return conclude(last, earlier, undelivered(ctx, detail))
}

// before returns what is known of a call whose key was sent before, or nil.
func before(call Call) outcome.Outcome {
	if call.Key != "" && call.Repeat {
		return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: "the key was sent before"}
	}
	return nil
}

// undelivered returns the outcome of a call of which no byte was written.
func undelivered(ctx context.Context, detail string) outcome.Outcome {
	if ctx.Err() != nil {
		return outcome.NotRun{Reason: outcome.DeadlineUnreachable, Detail: detail}
	}
	return outcome.NotRun{Reason: outcome.Unreachable, Detail: detail}
}

// conclude returns the outcome of all deliveries: the last one, unless it says "not run" after an unknown one.
func conclude(last, earlier, none outcome.Outcome) outcome.Outcome {
	if last == nil {
		last = none
	}
	if _, notRun := last.(outcome.NotRun); notRun && earlier != nil {
		return earlier
	}
	return last
}

// again tells whether another address may do better. Reasons that hold at every address, or for which the home has
// already used the retry budget, are final, because retries at several levels multiply.
func again(call Call, out outcome.Outcome) bool {
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
