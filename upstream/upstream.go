package upstream

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of ejection, slow start and service times; see section 2.8 of the design.
const (
	// EjectAfter is the number of consecutive failures that ejects an upstream.
	EjectAfter = 3
	// ShedLimit is the number of consecutive refusals for lack of a slot from which on each counts as a failure. An
	// upstream whose slots are used by another home answers in between; one that only claims to be busy does not.
	ShedLimit = 20
	// FirstBackOff and LastBackOff bound the duration of an ejection, which doubles from the first to the last.
	FirstBackOff = time.Second
	LastBackOff  = 30 * time.Second
	// SuccessesPerSlot is the number of successes after which slow start adds a slot.
	SuccessesPerSlot = 4
	// MinSamples is the number of service times that SmoothedServiceTime needs.
	MinSamples = 8

	// smoothing is the weight of a new service time. A tenfold slowdown passes the factor of 4, from which an upstream
	// counts as slow, after 7 samples, while the noise of exponential service times stays more than 4 standard
	// deviations below it.
	smoothing = 0.125
)

// Upstream holds the request counts and the health of one upstream.
type Upstream struct {
	slots    int
	running  int
	suspects int
	// heldUntil holds the times at which slots of failed requests become free, in no order.
	heldUntil []time.Time

	// smoothedLog is the smoothed natural logarithm of the service time in nanoseconds. The logarithm keeps a single
	// straggler from making the upstream look slow.
	smoothedLog  float64
	smoothedTime time.Duration
	samples      int

	failures int
	// consecutiveSheds is the number of consecutive refusals for lack of a slot.
	consecutiveSheds int
	backOff          time.Duration
	ejectedUntil     time.Time
	ejected          bool
	// unreachable is set if no connection could be made when the upstream was last used.
	unreachable bool

	// limit is the number of slots that slow start allows; successes count towards the next one.
	limit, successes int
	onTrial          bool
	// cold is set while the upstream reports that it is cold.
	cold    bool
	slow    bool
	leaving bool
	random  *rand.Rand
}

// New returns an upstream with the given number of slots; a cold one starts with one slot. random jitters the back-off.
func New(slots int, cold bool, random *rand.Rand) *Upstream {
	u := &Upstream{slots: max(slots, 1), random: random}
	u.limit = u.slots
	if cold {
		u.limit = 1
	}
	return u
}

// SetSlots changes the number of slots. An upstream that is not in slow start uses them at once.
func (u *Upstream) SetSlots(slots int) {
	slots = max(slots, 1)
	if u.limit >= u.slots || u.limit > slots {
		u.limit = slots
	}
	u.slots = slots
}

// Slots returns the configured number of slots.
func (u *Upstream) Slots() int { return u.slots }

// Running returns the number of running requests.
func (u *Upstream) Running() int { return u.running }

// Suspects returns the number of running requests that are suspect.
func (u *Upstream) Suspects() int { return u.suspects }

// Leaving reports whether the upstream gets no new requests.
func (u *Upstream) Leaving() bool { return u.leaving }

// SetLeaving sets whether the upstream is leaving. One that is no longer leaving is in slow start.
func (u *Upstream) SetLeaving(leaving bool) {
	if u.leaving && !leaving {
		u.restartSlowStart()
	}
	u.leaving = leaving
}

// OnTrial reports whether the upstream has returned from an ejection and has not answered since.
func (u *Upstream) OnTrial() bool { return u.onTrial }

// Slow reports whether the upstream is limited to one slot because it is slow.
func (u *Upstream) Slow() bool { return u.slow }

// SetSlow limits the upstream to one slot, or lifts the limit.
func (u *Upstream) SetSlow(slow bool) { u.slow = slow }

// Ejected reports whether the upstream is ejected now. It ends an ejection whose time has passed.
func (u *Upstream) Ejected(now time.Time) bool {
	if u.ejected && !now.Before(u.ejectedUntil) {
		u.ejected = false
		u.onTrial = true
		u.restartSlowStart()
	}
	return u.ejected
}

// Unreachable reports whether no connection could be made when the upstream was last used.
func (u *Upstream) Unreachable() bool { return u.unreachable }

// Limit returns the number of slots that may be used now, free or not.
func (u *Upstream) Limit() int {
	if u.slow {
		return 1
	}
	return u.limit
}

// Free returns the number of free slots, whatever the health of the upstream.
func (u *Upstream) Free(now time.Time) int {
	remaining := u.heldUntil[:0]
	for _, t := range u.heldUntil {
		if t.After(now) {
			remaining = append(remaining, t)
		}
	}
	u.heldUntil = remaining
	return max(u.Limit()-u.running-len(u.heldUntil), 0)
}

// Next returns the next time after now at which a held slot becomes free or an ejection ends; ok is false if there is
// none.
func (u *Upstream) Next(now time.Time) (next time.Time, ok bool) {
	for _, t := range u.heldUntil {
		if t.After(now) && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	if u.Ejected(now) && (!ok || u.ejectedUntil.Before(next)) {
		next, ok = u.ejectedUntil, true
	}
	return next, ok
}

// SmoothedServiceTime returns the smoothed service time; ok is false below MinSamples samples.
func (u *Upstream) SmoothedServiceTime() (smoothedTime time.Duration, ok bool) {
	return u.smoothedTime, u.samples >= MinSamples
}

// Start counts a request that begins to run.
func (u *Upstream) Start(suspect bool) {
	u.running++
	if suspect {
		u.suspects++
	}
}

// Finish counts the end of a request. hold is the time for which the slot of a failed request stays taken.
func (u *Upstream) Finish(class Class, suspect bool, service, hold time.Duration, now time.Time) {
	u.running--
	if suspect {
		u.suspects--
	}
	if class != Cancelled {
		u.unreachable = class == Unsent
	}
	switch class {
	case Answered:
		u.recordServiceTime(service)
		u.recordSuccess()
	case Timeout:
		// A request without an answer has already held its slot until its deadline.
		u.recordServiceTime(service)
		u.recordFailure(now)
	case Shed:
		// The other slots are used by another home. Slow start detects when they are free again.
		u.limit = min(max(u.running, 1), u.limit)
		u.successes = 0
		if u.running == 0 {
			u.heldUntil = append(u.heldUntil, now.Add(hold))
		}
		if u.consecutiveSheds++; u.consecutiveSheds >= ShedLimit {
			u.recordFailure(now)
		}
	case Failed, Refused, Unsent, Lost, Died:
		u.heldUntil = append(u.heldUntil, now.Add(hold))
		u.recordFailure(now)
	case Cancelled:
	}
}

// Observe records the state reported by the upstream, a probe or a peer.
func (u *Upstream) Observe(state State, now time.Time) {
	switch state {
	case Draining:
		u.SetLeaving(true)
	case Ready:
		u.SetLeaving(false)
		if u.ejected {
			return
		}
		u.onTrial = false
	case Cold:
		u.SetLeaving(false)
		u.ObserveResponse(Cold)
	case Failing:
		u.recordFailure(now)
	case NoState:
	}
}

// ObserveResponse records the state given in a response. Ready does not end a drain, because the response may be older
// than the report that began the drain.
func (u *Upstream) ObserveResponse(state State) {
	switch state {
	case Draining:
		u.leaving = true
	case Cold:
		// Slow start begins only once, although a cold upstream reports its state in each response.
		if !u.cold {
			u.restartSlowStart()
		}
		u.cold = true
	case Ready:
		u.cold = false
	case NoState, Failing:
	}
}

func (u *Upstream) recordServiceTime(service time.Duration) {
	x := math.Log(float64(max(service, time.Microsecond)))
	if u.samples == 0 {
		u.smoothedLog = x
	}
	u.samples++
	// The first samples are averaged with equal weights, so that the first one does not weigh more than the others.
	u.smoothedLog += (x - u.smoothedLog) * max(smoothing, 1/float64(u.samples))
	u.smoothedTime = time.Duration(math.Exp(u.smoothedLog))
}

func (u *Upstream) recordSuccess() {
	u.failures = 0
	u.consecutiveSheds = 0
	u.backOff = 0
	u.onTrial = false
	if u.limit >= u.slots {
		return
	}
	if u.successes++; u.successes >= SuccessesPerSlot {
		u.successes = 0
		u.limit++
	}
}

func (u *Upstream) recordFailure(now time.Time) {
	u.successes = 0
	u.failures++
	if u.Ejected(now) || (u.failures < EjectAfter && !u.onTrial) {
		return
	}
	u.backOff = min(max(2*u.backOff, FirstBackOff), LastBackOff)
	// Jitter of a quarter keeps the homes from all returning to a recovering upstream at the same time.
	jitter := 0.75 + 0.5*u.random.Float64()
	u.ejectedUntil = now.Add(time.Duration(float64(u.backOff) * jitter))
	u.ejected = true
	u.onTrial = false
}

func (u *Upstream) restartSlowStart() {
	u.limit = 1
	u.successes = 0
}
