package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

const (
	// slowFactor is how many times the group's median a service time must be to count as slow.
	slowFactor = 4
	// equalFactor is the ratio of service times below which two upstreams count as equally fast.
	equalFactor = 1.75
	// slowInterval is the time between requests to a slow upstream while others can be used. These requests measure the
	// upstream again and delay only a few callers.
	slowInterval = 250 * time.Millisecond
	// disturbedWait, times the mean service time and the probability of a disturbance, is the time that a request may
	// wait for an upstream that is probably not disturbed. Twice the value leaves too many slots idle in a group near its
	// capacity.
	disturbedWait = 0.4
	// estimateInterval is the time between estimates of the median and of disturbances. It is short compared with a
	// service time and avoids most of this work in a busy group.
	estimateInterval = 2 * time.Millisecond
	// initialMean is the mean service time assumed before the first answer.
	initialMean = 10 * time.Millisecond
	// meanSmoothing is the weight of a new service time in the group's mean.
	meanSmoothing = 1.0 / 64
	// meanClamp bounds a service time by a multiple of the mean, so that a straggler does not distort the mean.
	meanClamp = 8
)

// Pool holds the upstreams of a group.
type Pool struct {
	members []*member
	random  *rand.Rand
	// started is set by the first update with upstreams.
	started     bool
	longShare   float64
	longRunning int
	mean        time.Duration
	median      time.Duration
	// allHealthy is set while no upstream is ejected or holds a slot for a failed request. It avoids a scan of the
	// upstreams on most events.
	allHealthy bool
	// wait is the time that a request has to wait for a slot at present.
	wait time.Duration
	// estimated is the time of the last estimate.
	estimated time.Time
}

type member struct {
	declared declaration.Upstream
	state    *upstream.Upstream
	// used is the last time at which a slot was taken.
	used     time.Time
	detector detector
	// probability is that of a disturbance at the last estimate.
	probability float64
}

// Slot is a slot taken by a request until Release.
type Slot struct {
	// Upstream is the upstream that runs the request.
	Upstream declaration.Upstream

	member        *member
	start         time.Time
	long, suspect bool
}

// New returns an empty pool. random breaks ties and jitters back-offs.
func New(random *rand.Rand) *Pool {
	return &Pool{random: random, longShare: 1, mean: initialMean}
}

// SetLongShare sets the share of the slots, 0 to 1, that long requests may hold; they may always hold one slot.
func (p *Pool) SetLongShare(share float64) { p.longShare = min(max(share, 0), 1) }

// Update replaces the list of upstreams and keeps the state of those that stay. The upstreams of the first update start
// with all slots, because they were usually running before the pool; later ones are in slow start.
func (p *Pool) Update(ups []declaration.Upstream, _ time.Time) {
	members := make([]*member, 0, len(ups))
	for _, up := range ups {
		m := p.find(up.Name)
		if m == nil || m.declared.Address != up.Address {
			m = &member{state: upstream.New(up.Slots, p.started, p.random)}
		}
		if m.declared.Leaving != up.Leaving {
			m.state.SetLeaving(up.Leaving)
		}
		m.declared = up
		m.state.SetSlots(up.Slots)
		members = append(members, m)
	}
	p.members = members
	p.allHealthy = false
	p.started = p.started || len(members) > 0
}

// SetWait sets the time that a request has to wait for a slot at present.
func (p *Pool) SetWait(wait time.Duration) { p.wait = wait }

// Acquire takes the best free slot for the request. The upstream named exclude is not used, and a suspect is not
// assigned to an upstream that runs another suspect; ok is false if there is no slot.
func (p *Pool) Acquire(r *request.Request, exclude string, suspect bool, now time.Time) (slot Slot, ok bool) {
	if r.Long && p.longRunning >= p.longLimit() {
		return Slot{}, false
	}
	p.estimate(now)
	best := p.best(r, exclude, suspect, useNone, now)
	if best == nil {
		if use := p.allowedEjected(exclude, now); use != useNone {
			best = p.best(r, exclude, suspect, use, now)
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.used = now
	best.state.Start(suspect)
	best.detector.start(now)
	if r.Long {
		p.longRunning++
	}
	return Slot{Upstream: best.declared, member: best, start: now, long: r.Long, suspect: suspect}, true
}

// ejectedUse says which ejected upstreams may be used.
type ejectedUse int

const (
	// useNone allows no ejected upstream.
	useNone ejectedUse = iota
	// useReachable allows those that accepted a connection when they were last used.
	useReachable
	// useAll allows all of them.
	useAll
)

// best returns the member with the lowest cost among those with a free slot, or nil.
func (p *Pool) best(r *request.Request, exclude string, suspect bool, use ejectedUse, now time.Time) *member {
	var best *member
	var bestCost float64
	alternative, undisturbed := p.alternatives(exclude, now)
	for _, m := range p.members {
		if alternative && p.avoidSlow(m, now) || undisturbed && p.avoidDisturbed(m) {
			continue
		}
		if !p.usable(m, use, now) || m.declared.Name == exclude || suspect && m.state.Suspects() > 0 {
			continue
		}
		free := m.state.Free(now)
		if free == 0 {
			continue
		}
		cost := p.cost(m, free, r)
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// allowedEjected returns which ejected upstreams may be used when the others have no free slot. While there are others,
// a first attempt does not go to an upstream that accepts no connection, and a second one does not go to any ejected
// upstream.
func (p *Pool) allowedEjected(exclude string, now time.Time) ejectedUse {
	if !p.mostEjected(now) {
		return useNone
	}
	othersUsable := slices.ContainsFunc(p.members, func(m *member) bool {
		return m.declared.Name != exclude && p.usable(m, useNone, now)
	})
	switch {
	case !othersUsable:
		return useAll
	case exclude != "":
		return useNone
	default:
		return useReachable
	}
}

// Release ends the use of a slot; service is the time that the request ran.
func (p *Pool) Release(s Slot, class upstream.Class, service time.Duration, now time.Time) {
	if s.long {
		p.longRunning--
	}
	s.member.detector.finish(s.start, class == upstream.Answered, service, p.mean, now)
	s.member.state.Finish(class, s.suspect, service, p.mean, now)
	if class != upstream.Answered {
		p.allHealthy = false
		return
	}
	if !s.long {
		clamped := min(service, meanClamp*p.mean)
		p.mean += time.Duration(float64(clamped-p.mean) * meanSmoothing)
	}
}

// Observe records the reported state of the named upstream; an unknown name is ignored.
func (p *Pool) Observe(name string, state upstream.State, now time.Time) {
	if m := p.find(name); m != nil {
		m.state.Observe(state, now)
		p.allHealthy = false
	}
}

// Mean returns the mean service time of requests that are not long.
func (p *Pool) Mean() time.Duration { return p.mean }

// Free returns the number of free slots of usable upstreams.
func (p *Pool) Free(now time.Time) int {
	free := 0
	use := p.allowedEjected("", now)
	for _, m := range p.members {
		if p.usable(m, use, now) {
			free += m.state.Free(now)
		}
	}
	return free
}

// Slots returns the number of slots of usable upstreams, free or not.
func (p *Pool) Slots(now time.Time) int {
	slots := 0
	use := p.allowedEjected("", now)
	for _, m := range p.members {
		if p.usable(m, use, now) {
			slots += m.state.Limit()
		}
	}
	return slots
}

// Usable reports whether any upstream can run requests, now or later.
func (p *Pool) Usable() bool {
	return slices.ContainsFunc(p.members, func(m *member) bool { return !m.state.Leaving() })
}

// Next returns the next time after now at which a slot becomes free without a Release; ok is false if there is none.
func (p *Pool) Next(now time.Time) (next time.Time, ok bool) {
	if p.allHealthy {
		return time.Time{}, false
	}
	for _, m := range p.members {
		if t, found := m.state.Next(now); found && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	return next, ok
}

func (p *Pool) find(name string) *member {
	for _, m := range p.members {
		if m.declared.Name == name {
			return m
		}
	}
	return nil
}

// usable reports whether the member may get requests at present, given which ejected ones may be used.
func (p *Pool) usable(m *member, use ejectedUse, now time.Time) bool {
	switch {
	case m.state.Leaving():
		return false
	case p.allHealthy || use == useAll || !m.state.Ejected(now):
		return true
	default:
		return use == useReachable && !m.state.Unreachable()
	}
}

// mostEjected reports whether more than half of the upstreams are ejected. The fault is then more likely in the
// measurement or the network than in the upstreams, and ejected ones are used when the others have no free slot.
func (p *Pool) mostEjected(now time.Time) bool {
	if p.allHealthy {
		return false
	}
	ejected, all := 0, 0
	p.allHealthy = true
	for _, m := range p.members {
		_, due := m.state.Next(now)
		p.allHealthy = p.allHealthy && !due
		if m.state.Leaving() {
			continue
		}
		all++
		if m.state.Ejected(now) {
			ejected++
		}
	}
	return 2*ejected > all
}

// longLimit returns the number of slots that long requests may hold.
func (p *Pool) longLimit() int {
	slots := 0
	for _, m := range p.members {
		if !m.state.Leaving() {
			slots += m.state.Slots()
		}
	}
	return max(int(p.longShare*float64(slots)), 1)
}

// cost returns the expected service time at the member in nanoseconds, raised by its share of taken slots. Smoothed
// service times of equal upstreams often differ by half by chance, so the median is used for those within a factor of
// equalFactor of it.
func (p *Pool) cost(m *member, free int, r *request.Request) float64 {
	serviceTime, ok := m.state.SmoothedServiceTime()
	if ratio := float64(serviceTime) / float64(max(p.median, 1)); !ok || ratio < equalFactor && ratio > 1/equalFactor {
		serviceTime = max(p.median, time.Millisecond)
	}
	taken := 1 - float64(free)/float64(m.state.Slots())
	cost := float64(serviceTime) * (1 + (disturbanceFactor-1)*m.probability) * (1 + taken)
	if m.state.OnTrial() && !r.Idempotent {
		// An upstream that failed before may lose the request, which can't be retried.
		cost *= slowFactor
	}
	// Random noise of up to a tenth spreads requests over equal upstreams.
	return cost * (1 + 0.1*p.random.Float64())
}

// alternatives reports whether any upstream but the excluded one is not slow and may be used, now or when a slot of it
// becomes free; undisturbed reports whether one of these is probably not disturbed.
func (p *Pool) alternatives(exclude string, now time.Time) (alternative, undisturbed bool) {
	for _, m := range p.members {
		if !m.state.Slow() && m.declared.Name != exclude && p.usable(m, useNone, now) {
			alternative = true
			if undisturbed = m.probability <= 0.5; undisturbed {
				break
			}
		}
	}
	return alternative, undisturbed
}

// estimate updates the median and the probabilities of disturbances.
func (p *Pool) estimate(now time.Time) {
	if now.Sub(p.estimated) < estimateInterval {
		return
	}
	p.estimated = now
	p.markSlow()
	for _, m := range p.members {
		m.probability = m.detector.probability(p.mean, now)
	}
}

// avoidSlow reports whether a slow upstream should be passed over, because waiting for another one takes less time.
func (p *Pool) avoidSlow(m *member, now time.Time) bool {
	if !m.state.Slow() || now.Sub(m.used) >= slowInterval {
		return false
	}
	serviceTime, _ := m.state.SmoothedServiceTime()
	// A limit of one service time of the slow upstream is exceeded too often by the wait of a busy group.
	return p.wait < 2*serviceTime
}

// avoidDisturbed reports whether an upstream that is probably disturbed should be passed over for the moment. One
// without a smoothed service time is used, so that an upstream that is slow for long is detected.
func (p *Pool) avoidDisturbed(m *member) bool {
	_, known := m.state.SmoothedServiceTime()
	return known && !m.state.Slow() && m.probability > 0.5 && float64(p.wait) < disturbedWait*m.probability*float64(p.mean)
}

// markSlow computes the median service time and marks the upstreams above slowFactor times the median as slow.
func (p *Pool) markSlow() {
	var buffer [64]time.Duration
	all := buffer[:0]
	for _, m := range p.members {
		if t, ok := m.state.SmoothedServiceTime(); ok && !m.state.Leaving() {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	p.median = all[(len(all)-1)/2]
	for _, m := range p.members {
		t, ok := m.state.SmoothedServiceTime()
		m.state.SetSlow(ok && t > slowFactor*p.median)
	}
}

// ObserveResponse records the upstream's state given in the response to the slot's request.
func (p *Pool) ObserveResponse(s Slot, state upstream.State) { s.member.state.ObserveResponse(state) }
