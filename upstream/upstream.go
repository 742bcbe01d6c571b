package upstream

import (
	"math"
	"math/rand/v2"
	"time"
)

// Rules of section 2.8 of the design.
const (
	// EjectAfter is the number of consecutive failures that ejects an upstream.
	EjectAfter = 3
	// ShedLimit is the number of consecutive refusals for want of a slot from which on each counts as a failure. An
	// upstream whose slots are used by another home answers in between; one that only claims to be busy does not.
	ShedLimit = 20
	// FirstBackOff and LastBackOff bound the time of an ejection, which doubles from one to the other.
	FirstBackOff = time.Second
	LastBackOff  = 30 * time.Second
	// SuccessesPerSlot is the number of successes for which slow start adds a slot.
	SuccessesPerSlot = 4
	// MinSamples is the number of service times without which Typical says nothing.
	MinSamples = 8

	// smoothing is the weight of a new service time. A tenfold slowdown passes the factor of 4 after 7 samples,
	// while the noise of exponential service times stays more than 4 standard deviations below it.
	smoothing = 0.125
)

// Upstream holds the counts and the health of one upstream.
type Upstream struct {
	slots    int
	running  int
	suspects int
	// held are the times at which slots of failed requests become free, in no order.
	held []time.Time

	// level is the smoothed natural logarithm of the service time in nanoseconds. The logarithm keeps a single
	// straggler from passing for a slow upstream.
	level   float64
	typical time.Duration
	samples int

	failures int
	// shed is the number of consecutive refusals for want of a slot.
	shed    int
	backOff time.Duration
	until   time.Time
	ejected bool
	// unreachable tells that no connection could be made at the last failure.
	unreachable bool

	// limit is the number of slots that slow start allows; successes count towards the next one.
	limit, successes int
	trial            bool
	// cold is set while the upstream says that it is cold.
	cold    bool
	slow    bool
	leaving bool
	random  *rand.Rand
}

// New returns an upstream with the number of slots; a cold one starts with one slot. random jitters the back-off.
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

// Suspects returns the number of running suspects.
func (u *Upstream) Suspects() int { return u.suspects }

// Leaving reports whether the upstream gets no new work.
func (u *Upstream) Leaving() bool { return u.leaving }

// SetLeaving marks the upstream as leaving. One that comes back is in slow start.
func (u *Upstream) SetLeaving(leaving bool) {
	if u.leaving && !leaving {
		u.restart()
	}
	u.leaving = leaving
}

// Trial reports whether the upstream has returned from an ejection and has not answered since.
func (u *Upstream) Trial() bool { return u.trial }

// Slow reports whether the upstream is limited to one slot.
func (u *Upstream) Slow() bool { return u.slow }

// SetSlow limits the upstream to one slot, or lifts the limit.
func (u *Upstream) SetSlow(slow bool) { u.slow = slow }

// Ejected reports whether the upstream is ejected now. It ends an ejection whose time has passed.
func (u *Upstream) Ejected(now time.Time) bool {
	if u.ejected && !now.Before(u.until) {
		u.ejected = false
		u.trial = true
		u.restart()
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
	kept := u.held[:0]
	for _, t := range u.held {
		if t.After(now) {
			kept = append(kept, t)
		}
	}
	u.held = kept
	return max(u.Limit()-u.running-len(u.held), 0)
}

// Next returns the next time after now at which a held slot becomes free or an ejection ends; ok is false if there is
// none.
func (u *Upstream) Next(now time.Time) (next time.Time, ok bool) {
	for _, t := range u.held {
		if t.After(now) && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	if u.Ejected(now) && (!ok || u.until.Before(next)) {
		next, ok = u.until, true
	}
	return next, ok
}

// Typical returns the smoothed service time; ok is false below MinSamples samples.
func (u *Upstream) Typical() (typical time.Duration, ok bool) {
	return u.typical, u.samples >= MinSamples
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
		u.sample(service)
		u.succeed()
	case Timeout:
		// A request without an answer held its slot until its deadline already.
		u.sample(service)
		u.fail(now)
	case Shed:
		// The other slots are used by another home. Slow start finds out when they are free again.
		u.limit = min(max(u.running, 1), u.limit)
		u.successes = 0
		if u.running == 0 {
			u.held = append(u.held, now.Add(hold))
		}
		if u.shed++; u.shed >= ShedLimit {
			u.fail(now)
		}
	case Failed, Refused, Unsent, Lost, Died:
		u.held = append(u.held, now.Add(hold))
		u.fail(now)
	case Cancelled:
	}
}

// Observe takes a statement of the upstream, a probe or a peer.
func (u *Upstream) Observe(state State, now time.Time) {
	switch state {
	case Draining:
		u.SetLeaving(true)
	case Ready:
		u.SetLeaving(false)
		if u.ejected {
			return
		}
		u.trial = false
	case Cold:
		u.SetLeaving(false)
		u.Hear(Cold)
	case Failing:
		u.fail(now)
	case Unstated:
	}
}

// Hear takes the state that a response states. Ready does not end a drain, because the response may be older than
// the statement that began the drain.
func (u *Upstream) Hear(state State) {
	switch state {
	case Draining:
		u.leaving = true
	case Cold:
		// Slow start begins once, although a cold upstream says so in each response.
		if !u.cold {
			u.restart()
		}
		u.cold = true
	case Ready:
		u.cold = false
	case Unstated, Failing:
	}
}

func (u *Upstream) sample(service time.Duration) {
	x := math.Log(float64(max(service, time.Microsecond)))
	if u.samples == 0 {
		u.level = x
	}
	u.samples++
	// The mean of the first samples counts fully, so that the first one does not weigh more than the others.
	u.level += (x - u.level) * max(smoothing, 1/float64(u.samples))
	u.typical = time.Duration(math.Exp(u.level))
}

func (u *Upstream) succeed() {
	u.failures = 0
	u.shed = 0
	u.backOff = 0
	u.trial = false
	if u.limit >= u.slots {
		return
	}
	if u.successes++; u.successes >= SuccessesPerSlot {
		u.successes = 0
		u.limit++
	}
}

func (u *Upstream) fail(now time.Time) {
	u.successes = 0
	u.failures++
	if u.Ejected(now) || (u.failures < EjectAfter && !u.trial) {
		return
	}
	u.backOff = min(max(2*u.backOff, FirstBackOff), LastBackOff)
	// Jitter of a quarter keeps homes from returning to a recovering upstream at once.
	jitter := 0.75 + 0.5*u.random.Float64()
	u.until = now.Add(time.Duration(float64(u.backOff) * jitter))
	u.ejected = true
	u.trial = false
}

func (u *Upstream) restart() {
	u.limit = 1
	u.successes = 0
}
