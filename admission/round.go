package admission

import "time"

// Option is an upstream that the request can be sent to.
type Option struct {
	// Cost ranks the upstream, and ExpectedTime is the expected time of the request there, both in usual service times.
	Cost, ExpectedTime float64
	// FreeSlots is the number of its free slots.
	FreeSlots int
	// IsTaken reports whether its quota turned out to be used up when the request was to be sent.
	IsTaken bool
}

// Limits is what keeps the VM from sending to any upstream of the service.
type Limits struct {
	// Wait is the time until the VM may send to one of them.
	Wait time.Duration
	// RetryAfter is the time after which another VM may, or 0 if it isn't known.
	RetryAfter time.Duration
}

// Round is what is known in one round of selection.
type Round struct {
	// HasLeft reports whether the caller has left, and IsCutOff whether the VM reaches no upstream.
	HasLeft, IsCutOff bool
	// IsKnown reports whether usable upstreams of the service are known.
	IsKnown bool
	// Limits is set if limits keep the VM from sending to all of them.
	Limits *Limits
	// Best is the cheapest upstream of the sample, or nil if there is none. Free holds those with free slots and an acceptable
	// failure rate.
	Best *Option
	Free []*Option
	// Waited is the time since the arrival, Usual the usual service time, and Target the time after the arrival within which an
	// answer counts as in time.
	Waited, Usual, Target time.Duration
	// IsMoreUrgentWaiting reports whether a more urgent request found no free slot a short time ago, and IsLessServedWaiting whether
	// one of the same priority, of an organisation that sent less lately, did.
	IsMoreUrgentWaiting, IsLessServedWaiting bool
	// IsScarce reports whether requests of the priority waited in vain lately.
	IsScarce bool
	// Elapsed is the time from the caller's first attempt to the arrival, or 0 if the request has not been refused before.
	Elapsed time.Duration
	// Excess is the share of the requests without a free slot that are refused at once. Draw is a random number in [0, 1) that
	// selects them.
	Excess, Draw float64
	// IsFirst is set in the first round.
	IsFirst bool
	// RetryAfter is the time after which the request should return if no slot becomes free for it.
	RetryAfter time.Duration
}

// Order tells to which requests one has to leave a free slot.
type Order string

// Orders in kebab case, as logged.
const (
	// NoOrder lets the request take any slot.
	NoOrder Order = ""
	// MoreUrgent are requests of a more urgent priority.
	MoreUrgent Order = "more-urgent"
	// LessServed are requests of organisations that sent less lately.
	LessServed Order = "less-served"
	// InTime are requests that can still be answered in time, counted from their caller's first attempt.
	InTime Order = "in-time"
)

// leavesTo returns to which requests the request has to leave a free slot.
func (r *Round) leavesTo() Order {
	switch {
	case r.IsMoreUrgentWaiting:
		return MoreUrgent
	case r.IsLessServedWaiting:
		return LessServed
	case r.IsScarce && r.Elapsed > 0 && r.Elapsed+r.Waited+r.Usual > r.Target:
		return InTime
	default:
		return NoOrder
	}
}

// left returns to which requests the request leaves a slot that it could use otherwise.
func (r *Round) left() Order {
	order := r.leavesTo()
	if order == NoOrder {
		return NoOrder
	}
	for _, o := range r.Free {
		if r.isInTime(o) {
			return order
		}
	}
	return NoOrder
}

// isLate reports whether the request can't be answered in time any more at an upstream of usual speed.
func (r *Round) isLate() bool { return r.Waited+r.Usual > r.Target }

// isInTime reports whether the upstream is expected to answer in time.
func (r *Round) isInTime(o *Option) bool {
	return r.Waited+time.Duration(o.ExpectedTime*float64(r.Usual)) <= r.Target
}

// maySend reports whether the upstream is expected to answer in time and the request may take a slot there.
func (r *Round) maySend(o *Option) bool {
	return r.isInTime(o) && (o.FreeSlots > 1 || r.leavesTo() == NoOrder)
}

// cheapestFree returns the cheapest upstream with a free slot that the request may be sent to, or nil if there is none.
func (r *Round) cheapestFree() *Option {
	var best *Option
	for _, o := range r.Free {
		if r.maySend(o) && (best == nil || o.Cost < best.Cost) {
			best = o
		}
	}
	return best
}
