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
	// equalFactor is the ratio of service times from which on two upstreams are not taken for equal.
	equalFactor = 1.75
	// slowInterval is the time between requests to a slow upstream while others can be used. They measure it without
	// making more than a few requests late.
	slowInterval = 250 * time.Millisecond
	// doubtWait is the part of the mean service time, times the chance of a disturbance, that a request may wait for
	// an upstream that is probably not disturbed. With twice as much a group near its capacity leaves too many slots
	// idle.
	doubtWait = 0.4
	// estimateInterval is the time between estimates of the median and of disturbances. It is short against a service
	// time and saves most of the work of a busy group.
	estimateInterval = 2 * time.Millisecond
	// firstMean is the mean service time assumed before the first answer.
	firstMean = 10 * time.Millisecond
	// meanSmoothing is the weight of a new service time in the group's mean.
	meanSmoothing = 1.0 / 64
	// meanClamp bounds a service time by a multiple of the mean, so that a straggler does not distort the mean.
	meanClamp = 8
)

// Pool holds the upstreams of a group.
type Pool struct {
	members   []*member
	random    *rand.Rand
	started   bool
	longShare float64
	long      int
	mean      time.Duration
	median    time.Duration
	// quiet is set while no upstream is ejected or holds a slot for a failed request. It saves a look at each
	// upstream for most events.
	quiet bool
	wait  time.Duration
	// estimated is the time of the last estimate.
	estimated time.Time
}

type member struct {
	declared declaration.Upstream
	state    *upstream.Upstream
	// used is the last time at which a slot was taken.
	used time.Time
	pace pace
	// chance is the probability of a disturbance at the last estimate.
	chance float64
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
	return &Pool{random: random, longShare: 1, mean: firstMean}
}

// SetLongShare sets the part of the slots, 0 to 1, that long work may hold; it may always hold one slot.
func (p *Pool) SetLongShare(share float64) { p.longShare = min(max(share, 0), 1) }

// Update replaces the list of upstreams and keeps what is known of those that stay. The upstreams of the first
// update start with all slots, because they usually ran before the pool did; later ones are in slow start.
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
	p.quiet = false
	p.started = p.started || len(members) > 0
}

// SetWait tells the pool how long a request waits for a slot at present.
func (p *Pool) SetWait(wait time.Duration) { p.wait = wait }

// Acquire takes the best free slot for the request. The upstream named exclude is not used, and a suspect gets no
// upstream that runs a suspect; ok is false if there is no slot.
func (p *Pool) Acquire(r *request.Request, exclude string, suspect bool, now time.Time) (slot Slot, ok bool) {
	if r.Long && p.long >= p.longLimit() {
		return Slot{}, false
	}
	p.estimate(now)
	best := p.best(r, exclude, suspect, none, now)
	if best == nil {
		if t := p.trust(exclude, now); t != none {
			best = p.best(r, exclude, suspect, t, now)
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.used = now
	best.state.Start(suspect)
	best.pace.start(now)
	if r.Long {
		p.long++
	}
	return Slot{Upstream: best.declared, member: best, start: now, long: r.Long, suspect: suspect}, true
}

// trust is which ejected upstreams may be used.
type trust int

const (
	// none of the ejected ones may be used.
	none trust = iota
	// reachable ones, which took a connection when they were last used, may be used.
	reachable
	// every ejected one may be used.
	every
)

// best returns the member with the lowest cost among those with a free slot, or nil.
func (p *Pool) best(r *request.Request, exclude string, suspect bool, t trust, now time.Time) *member {
	var best *member
	var bestCost float64
	spare, calm := p.spare(exclude, now)
	for _, m := range p.members {
		if spare && p.avoid(m, now) || calm && p.doubt(m) {
			continue
		}
		if !p.usable(m, t, now) || m.declared.Name == exclude || suspect && m.state.Suspects() > 0 {
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

// trust returns which ejected upstreams may be used when the others have no free slot. While there are others, a first
// attempt is not wasted on an upstream that takes no connection, and a second one on no ejected upstream at all.
func (p *Pool) trust(exclude string, now time.Time) trust {
	if !p.distrust(now) {
		return none
	}
	sound := slices.ContainsFunc(p.members, func(m *member) bool {
		return m.declared.Name != exclude && p.usable(m, none, now)
	})
	switch {
	case !sound:
		return every
	case exclude != "":
		return none
	default:
		return reachable
	}
}

// Release ends the use of a slot; service is the time that the request ran.
func (p *Pool) Release(s Slot, class upstream.Class, service time.Duration, now time.Time) {
	if s.long {
		p.long--
	}
	s.member.pace.finish(s.start, class == upstream.Answered, service, p.mean, now)
	s.member.state.Finish(class, s.suspect, service, p.mean, now)
	if class != upstream.Answered {
		p.quiet = false
		return
	}
	if !s.long {
		x := min(service, meanClamp*p.mean)
		p.mean += time.Duration(float64(x-p.mean) * meanSmoothing)
	}
}

// Observe passes a statement about the upstream on; an unknown name is ignored.
func (p *Pool) Observe(name string, state upstream.State, now time.Time) {
	if m := p.find(name); m != nil {
		m.state.Observe(state, now)
		p.quiet = false
	}
}

// Mean returns the mean service time of work that is not long.
func (p *Pool) Mean() time.Duration { return p.mean }

// Free returns the number of free slots of usable upstreams.
func (p *Pool) Free(now time.Time) int {
	free := 0
	t := p.trust("", now)
	for _, m := range p.members {
		if p.usable(m, t, now) {
			free += m.state.Free(now)
		}
	}
	return free
}

// Slots returns the number of slots of usable upstreams, free or not.
func (p *Pool) Slots(now time.Time) int {
	slots := 0
	t := p.trust("", now)
	for _, m := range p.members {
		if p.usable(m, t, now) {
			slots += m.state.Limit()
		}
	}
	return slots
}

// Usable reports whether any upstream could run work, now or later.
func (p *Pool) Usable() bool {
	return slices.ContainsFunc(p.members, func(m *member) bool { return !m.state.Leaving() })
}

// Next returns the next time after now at which a slot becomes free without a Release; ok is false if there is none.
func (p *Pool) Next(now time.Time) (next time.Time, ok bool) {
	if p.quiet {
		return time.Time{}, false
	}
	for _, m := range p.members {
		if t, some := m.state.Next(now); some && (!ok || t.Before(next)) {
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

func (p *Pool) usable(m *member, t trust, now time.Time) bool {
	switch {
	case m.state.Leaving():
		return false
	case p.quiet || t == every || !m.state.Ejected(now):
		return true
	default:
		return t == reachable && !m.state.Unreachable()
	}
}

// distrust reports whether more than half of the upstreams are ejected. Then the fault is more likely in the
// measurement or the network than in the upstreams, and ejected ones are used when the others have no free slot.
func (p *Pool) distrust(now time.Time) bool {
	if p.quiet {
		return false
	}
	ejected, all := 0, 0
	p.quiet = true
	for _, m := range p.members {
		_, due := m.state.Next(now)
		p.quiet = p.quiet && !due
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

func (p *Pool) longLimit() int {
	slots := 0
	for _, m := range p.members {
		if !m.state.Leaving() {
			slots += m.state.Slots()
		}
	}
	return max(int(p.longShare*float64(slots)), 1)
}

// cost is the expected service time at the member, raised by its share of taken slots. Smoothed service times of equal
// upstreams often differ by half by chance, hence the median stands for those within that range.
func (p *Pool) cost(m *member, free int, r *request.Request) float64 {
	typical, ok := m.state.Typical()
	if ratio := float64(typical) / float64(max(p.median, 1)); !ok || ratio < equalFactor && ratio > 1/equalFactor {
		typical = max(p.median, time.Millisecond)
	}
	taken := 1 - float64(free)/float64(m.state.Slots())
	cost := float64(typical) * (1 + (disturbance-1)*m.chance) * (1 + taken)
	if m.state.Trial() && !r.Idempotent {
		// An upstream that failed before may lose the request, which can't be repeated.
		cost *= slowFactor
	}
	// Up to a tenth of noise spreads work over equal upstreams.
	return cost * (1 + 0.1*p.random.Float64())
}

// spare reports whether any upstream but the excluded one is not slow and may be used, now or when a slot of it becomes
// free; calm tells whether one of these is probably not disturbed.
func (p *Pool) spare(exclude string, now time.Time) (spare, calm bool) {
	for _, m := range p.members {
		if !m.state.Slow() && m.declared.Name != exclude && p.usable(m, none, now) {
			spare = true
			if calm = m.chance <= 0.5; calm {
				break
			}
		}
	}
	return spare, calm
}

// estimate brings the median and the chances of disturbances up to date.
func (p *Pool) estimate(now time.Time) {
	if now.Sub(p.estimated) < estimateInterval {
		return
	}
	p.estimated = now
	p.mark()
	for _, m := range p.members {
		m.chance = m.pace.chance(p.mean, now)
	}
}

// avoid reports whether a slow upstream should be left alone, because waiting for another one takes less time.
func (p *Pool) avoid(m *member, now time.Time) bool {
	if !m.state.Slow() || now.Sub(m.used) >= slowInterval {
		return false
	}
	typical, _ := m.state.Typical()
	// With only one typical time of the slow upstream the wait of a busy group passes it too often.
	return p.wait < 2*typical
}

// doubt reports whether an upstream that is probably disturbed should be left alone for the moment. Without a typical
// service time it is used, so that one that is slow for long is found.
func (p *Pool) doubt(m *member) bool {
	_, known := m.state.Typical()
	return known && !m.state.Slow() && m.chance > 0.5 && float64(p.wait) < doubtWait*m.chance*float64(p.mean)
}

// mark finds the median service time and marks the upstreams far above it as slow.
func (p *Pool) mark() {
	var buffer [64]time.Duration
	all := buffer[:0]
	for _, m := range p.members {
		if t, ok := m.state.Typical(); ok && !m.state.Leaving() {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	p.median = all[(len(all)-1)/2]
	for _, m := range p.members {
		t, ok := m.state.Typical()
		m.state.SetSlow(ok && t > slowFactor*p.median)
	}
}

// Hear takes the state that the response to the slot's request states.
func (p *Pool) Hear(s Slot, state upstream.State) { s.member.state.Hear(state) }
