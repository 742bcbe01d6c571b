package admission

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// Decision is what happens to a request after a round: Send, Refuse or Wait.
type Decision interface {
	isDecision()
}

// Send sends the request to the upstream.
type Send struct {
	To *Option
	// IsWaiting reports whether less urgent requests leave a slot free all the same, because the better slots are taken.
	IsWaiting bool
}

// Refuse refuses the request, which has not been sent.
type Refuse struct {
	Reason outcome.Reason
	// RetryAfter is the time after which it may be served, or 0 if it isn't known.
	RetryAfter time.Duration
	// IsWaiting reports whether less urgent requests leave what becomes free to those like it.
	IsWaiting bool
	// LeftTo tells to which requests it left a slot.
	LeftTo Order
}

// Wait holds the request until the next round and makes less urgent requests leave a slot free.
type Wait struct {
	// LeftTo tells to which requests it left a slot.
	LeftTo Order
}

func (Send) isDecision()   {}
func (Refuse) isDecision() {}
func (Wait) isDecision()   {}

// Decide returns what happens to the request after the round.
func Decide(r Round) Decision {
	if r.HasLeft {
		return Refuse{Reason: outcome.Cancelled}
	}
	if r.IsCutOff {
		return Refuse{Reason: outcome.CutOff}
	}
	if r.Best == nil {
		return decideWithoutUpstream(r)
	}
	if r.maySend(r.Best) {
		return sendOrWait(r.Best)
	}
	if free := r.cheapestFree(); free != nil && !free.IsTaken {
		return Send{To: free, IsWaiting: true}
	}
	if !r.isLate() {
		return waitOrRefuse(r)
	}
	if r.Best.FreeSlots > 0 {
		return sendOrWait(r.Best)
	}
	return Refuse{Reason: outcome.QueueFull, RetryAfter: r.RetryAfter, LeftTo: r.left()}
}

// decideWithoutUpstream decides if the sample is empty.
func decideWithoutUpstream(r Round) Decision {
	if r.Limits != nil && (r.isLate() || r.Limits.Wait > r.Target-r.Waited-r.Usual) {
		return Refuse{Reason: outcome.Limited, RetryAfter: r.Limits.RetryAfter, IsWaiting: true}
	}
	if r.isLate() || !r.IsKnown {
		return Refuse{Reason: outcome.NoUpstream}
	}
	return Wait{}
}

// sendOrWait sends the request unless the quota of the upstream is used up.
func sendOrWait(o *Option) Decision {
	if o.IsTaken {
		return Wait{}
	}
	return Send{To: o}
}

// waitOrRefuse holds the request, or refuses it at once if too many like it wait already. One that has been refused before is held: to
// refuse it again is worse for its caller.
func waitOrRefuse(r Round) Decision {
	if r.IsFirst && r.Elapsed == 0 && r.Draw < r.Excess {
		return Refuse{Reason: outcome.Scarce, RetryAfter: r.RetryAfter, IsWaiting: true, LeftTo: r.left()}
	}
	return Wait{LeftTo: r.left()}
}
