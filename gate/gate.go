package gate

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/organisation"
	"github.com/fulmarhitch/fulmarhitch/usage"
)

const (
	// Validity is the time for which shares hold after the call that brought them was sent. A VM calls a relay once a second.
	Validity = 1500 * time.Millisecond
	// suddenFactor and suddenExcess tell a sudden rise: an organisation sends more than the factor times what its last rate
	// suggests, and that many more.
	suddenFactor = 3
	suddenExcess = 2
	// startPeriod is the time after the start of the process within which a VM gets its first shares.
	startPeriod = 2 * time.Second
	// ownBurst is the part of the burst in a VM's own part. The other VMs may have used the burst in the same window, before their shares
	// ended.
	ownBurst = 0.5
	// startRate is the rate up to which a starting VM admits all requests of an organisation.
	startRate = 6
	// minRetry and maxRetry bound the time after which a refused caller may return.
	minRetry = 500 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Config holds the dependencies of a gate.
type Config struct {
	Window time.Duration
	// VMs returns the number of VMs that share the limits, or 0 if it isn't known.
	VMs func() int
	// Wake is called when an organisation suddenly sends much more than before, or sends near its limit for the first time since the
	// last report.
	Wake func(isSudden bool)
}

// state is what is kept for an active organisation.
type state struct {
	// credit is the part of a request that has been saved up; it grows by the share with each request.
	credit float64
	// own is the credit of the local rule at the time ownSince, which is zero while shares are valid.
	own      float64
	ownSince time.Time
	// rate is the rate of requests per second before the last report, and reported the number of those since then.
	rate    float64
	offered int
	last    time.Time
}

// Gate counts and admits requests. It is safe for concurrent use.
type Gate struct {
	config Config
	// started is the time of the start of the process.
	started time.Time

	mu           sync.Mutex
	usage        *usage.Table
	states       map[uint64]*state
	shares       map[uint64]float64
	sharesAt     time.Time
	reported     time.Time
	hasNear      bool
	admitted     uint64
	refused      uint64
	refusedLocal uint64
}

// New returns a gate without shares.
func New(c Config, now time.Time) *Gate {
	return &Gate{config: c, started: now, usage: usage.New(c.Window, now), states: make(map[uint64]*state), reported: now}
}

// Admit counts a request of the organisation and reports whether it is within the limit, else after what time to return.
func (g *Gate) Admit(o *organisation.Organisation, now time.Time) (ok bool, retryAfter time.Duration) {
	if o.Rate <= 0 {
		return true, 0
	}
	id := usage.ID(o.Name)
	g.mu.Lock()
	s := g.states[id]
	if s == nil {
		s = &state{credit: rand.Float64()}
		g.states[id] = s
	}
	s.last = now
	s.offered++
	share, isNear := g.shares[id]
	if isValid := g.isValid(now); isValid {
		s.ownSince = time.Time{}
		if !isNear {
			share = 1
		}
		s.credit += share
		if ok = s.credit >= 1; ok {
			s.credit--
		}
	} else {
		ok, share = g.admitOwn(s, o, now)
		if !ok {
			g.refusedLocal++
		}
	}
	count := usage.Count{Offered: 1}
	if ok {
		g.admitted++
	} else {
		g.refused++
		count.Refused = 1
	}
	index, _ := g.usage.Index(now)
	g.usage.Add(id, index, count)
	expected := s.rate * now.Sub(g.reported).Seconds()
	isSudden := !isNear && float64(s.offered) > suddenFactor*expected+suddenExcess
	wake := isSudden || isNear && !g.hasNear
	g.hasNear = g.hasNear || isNear
	g.mu.Unlock()
	if wake {
		g.config.Wake(isSudden)
	}
	if !ok {
		retryAfter = spread(share)
	}
	return ok, retryAfter
}

// AdmitLate is like Admit for a request that can't be answered in time any more. While the organisation has a share below 1, it is
// refused and doesn't count as offered, so that the share goes to the other requests.
func (g *Gate) AdmitLate(o *organisation.Organisation, now time.Time) (ok bool, retryAfter time.Duration) {
	g.mu.Lock()
	share, isNear := g.shares[usage.ID(o.Name)]
	isLimited := isNear && share < 1 && g.isValid(now)
	if isLimited {
		g.refused++
	}
	g.mu.Unlock()
	if isLimited {
		return false, spread(share)
	}
	return g.Admit(o, now)
}

// isValid reports whether the shares are valid; the caller holds mu.
func (g *Gate) isValid(now time.Time) bool {
	return !g.sharesAt.IsZero() && now.Sub(g.sharesAt) <= Validity
}

// admitOwn admits a request by this VM's own part of the limit and returns the share of the requests that the part is. A VM that starts
// admits at least the first request of each organisation, and all of small ones.
//
// Most organisations are below their limits then, and their requests reach VMs that have no whole request as their part. If an organisation
// sends 5 times its limit while all VMs start, its first requests and the parts use what its earlier requests leave of a window.
func (g *Gate) admitOwn(s *state, o *organisation.Organisation, now time.Time) (ok bool, share float64) {
	isStarting := g.sharesAt.IsZero() && now.Sub(g.started) < startPeriod
	if isStarting && o.Rate <= startRate {
		return true, 1
	}
	isFirst := s.ownSince.IsZero()
	vms := g.config.VMs()
	if vms == 0 {
		// The part isn't known until the VM has found the others.
		if isStarting && isFirst {
			s.own, s.ownSince = 0, now
			return true, 1
		}
		return false, 1
	}
	rate, burst := o.Rate/float64(vms), ownBurst*o.Burst/float64(vms)
	switch {
	case isFirst && isStarting:
		s.own = max(rand.Float64()+burst, 1)
	case isFirst:
		s.own = rand.Float64() + burst
	default:
		s.own = min(s.own+rate*now.Sub(s.ownSince).Seconds(), 1+burst)
	}
	s.ownSince = now
	if s.own < 1 {
		if isStarting {
			return false, 1
		}
		return false, min(rate, 1)
	}
	s.own--
	return true, 1
}

// spread returns the time after which a refused caller may return. The refused requests of a second return over the time in which
// so many are admitted.
func spread(share float64) time.Duration {
	limit := maxRetry
	if s := 1 / max(share, 1e-3); s < maxRetry.Seconds() {
		limit = time.Duration(s * float64(time.Second))
	}
	return minRetry + rand.N(limit)
}

// Return takes back a request that was admitted at the time and did not run.
func (g *Gate) Return(o *organisation.Organisation, admitted time.Time) {
	if o.Rate <= 0 {
		return
	}
	id := usage.ID(o.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	index, _ := g.usage.Index(admitted)
	// A slot that has left the window must not count below zero.
	if counts := g.usage.Counts(id, index); counts[0].Admitted() > 0 {
		g.usage.Add(id, index, usage.Count{Offered: -1})
	}
}

// SetShares replaces the shares, of organisations near their limits only; sent is the time at which the call that brought them
// was sent.
func (g *Gate) SetShares(shares map[uint64]float64, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sent.After(g.sharesAt) {
		g.shares, g.sharesAt = shares, sent
	}
}

// UpdateShares replaces the shares without a change of the time for which they hold. It reports whether requests of an organisation
// that has come near its limit have not been reported.
func (g *Gate) UpdateShares(shares map[uint64]float64) (isDue bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range shares {
		if s := g.states[id]; s != nil && s.offered > 0 {
			if _, wasNear := g.shares[id]; !wasNear {
				isDue = true
			}
		}
	}
	g.shares = shares
	return isDue
}

// Changes returns the counts that have changed after the revision, the present revision, and whether organisations near their
// limits were among the requests since the last call. It begins the next round.
func (g *Gate) Changes(after uint64, now time.Time) (entries []usage.Entry, revision uint64, hasNear bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	elapsed := now.Sub(g.reported).Seconds()
	for id, s := range g.states {
		if now.Sub(s.last) > 2*g.config.Window {
			delete(g.states, id)
			continue
		}
		if elapsed > 0 {
			// The average over some two seconds, because rounds differ in length.
			weight := min(elapsed/2, 1)
			s.rate += weight * (float64(s.offered)/elapsed - s.rate)
		}
		s.offered = 0
	}
	hasNear = g.hasNear
	g.reported, g.hasNear = now, false
	g.usage.Expire(now)
	entries, revision = g.usage.Changes(after, now)
	return entries, revision, hasNear
}

// Index returns the index of the present slot of the counts.
func (g *Gate) Index(now time.Time) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	index, _ := g.usage.Index(now)
	return index
}

// ShareAge returns the time since the call that brought the shares was sent, and whether there are valid ones.
func (g *Gate) ShareAge(now time.Time) (age time.Duration, isValid bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sharesAt.IsZero() {
		return 0, false
	}
	return now.Sub(g.sharesAt), g.isValid(now)
}

// Totals returns the numbers of admitted and refused requests, and of those among the latter that were refused without a share.
func (g *Gate) Totals() (admitted, refused, refusedLocal uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitted, g.refused, g.refusedLocal
}
