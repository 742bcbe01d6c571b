package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fulmarhitch/fulmarhitch/notice"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// coldSharers is the part of the bound on a cold upstream that the VMs that share it may reach together: two groups of VMs that
	// disagree about the fleet have to fit.
	coldSharers = 0.5
	// coldExcess is the part of the tolerated overage that is used, because not all VMs have demand for all their shares.
	coldExcess = 0.4
	// nearUnchecked and farUnchecked are the parts of the bound that the VMs of the upstream's failure domain and the others may reach
	// with requests to an upstream that was warm when they last heard of it. The rest is for requests that were sent after a poll
	// just before the upstream turned cold.
	nearUnchecked = 0.4
	farUnchecked  = 0.25
	// uncheckedFill is the part of that which is used on average. A VM with just one request a second could send two within one.
	uncheckedFill = 0.95
	// freshAge is the age of a health answer up to which an upstream counts as warm: the time that a poll before a choice takes.
	freshAge = 25 * time.Millisecond
	// checkedAge is the age up to which one request without a share may follow a health answer. The fleet gets some eight answers a
	// second of each upstream, so that about two such requests may meet an upstream that has turned cold meanwhile. A choice polls
	// several upstreams and sends to one; the others serve the next requests. With 500 ms, 18 requests met one in a second.
	checkedAge = 250 * time.Millisecond
	// maxSharers bounds the number of VMs that share an upstream.
	maxSharers = 10_000
	// uncheckedWait is the wait for an upstream that may be cold and of which this VM has no share: a poll may be allowed by then.
	uncheckedWait = 100 * time.Millisecond
	// unknownFleet is the factor by which a VM that only knows the size of the fleet reduces its chance of a share, because the
	// number of VMs with a share varies then.
	unknownFleet = 2
)

// Warmup holds what cold upstreams take.
type Warmup struct {
	// Rates are the warm-up rates by service in requests per second. Services without one have no limit.
	Rates map[string]float64
	// Overage and Slack give the bound on the requests in any second: the rate times Overage, plus Slack.
	Overage, Slack float64
}

// coldShare is this VM's share of what one incarnation of an upstream takes while it is cold or may be.
type coldShare struct {
	startedMS int64
	// rank and candidates are as in share; isNear reports whether this VM is in the upstream's failure domain.
	rank, candidates, version int
	isNear                    bool
	tokens                    float64
	// usedPoll is the time of the latest health answer that a request without a share has followed.
	usedPoll time.Time
	updated  time.Time
}

// SetWarmup sets the warm-up rates, and the stored size of the fleet or 0.
func (k *Keeper) SetWarmup(w Warmup, fleetSize int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.size == fleetSize && k.warmup.Overage == w.Overage && k.warmup.Slack == w.Slack && maps.Equal(k.warmup.Rates, w.Rates) {
		return
	}
	k.warmup, k.size = w, fleetSize
	k.version++
}

// CountHeld counts a request that the warm-up rate of a cold upstream kept from it.
func (k *Keeper) CountHeld() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held++
}

// Held returns the number of requests that CountHeld counted.
func (k *Keeper) Held() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held
}

// checkCold returns what this VM may send to the upstream by the warm-up rate of its service; the caller holds mu.
func (k *Keeper) checkCold(u roster.Upstream, n notice.State, now time.Time) Permit {
	if k.warmup.Rates[u.Service] == 0 {
		return Permit{Requests: Unlimited}
	}
	p := Permit{WarmAt: n.WarmAt}
	if !k.isHeldBack(u, n, now) {
		p.Requests = Unlimited
		return p
	}
	isCold := now.Before(n.WarmAt)
	s, rate, fleetRate := k.refillCold(u, isCold, now)
	if s.tokens >= 1 {
		p.Requests = int(s.tokens)
		return p
	}
	p.IsCold, p.FleetRate, p.Wait = isCold, fleetRate, uncheckedWait
	p.PollDue = !isCold || now.Sub(n.PolledAt) > pollInterval
	if isCold {
		// The upstream takes more then, as far as is known.
		p.Wait = n.WarmAt.Sub(now)
	}
	if rate > 0 {
		p.Wait = min(p.Wait, time.Duration(min((1-s.tokens)/rate*float64(time.Second), float64(Never))))
	}
	return p
}

// takeCold takes one request from the share of the upstream if its service has a warm-up rate, and reports whether it may be sent; the
// caller holds mu.
func (k *Keeper) takeCold(u roster.Upstream, n notice.State, now time.Time) bool {
	if !k.isHeldBack(u, n, now) {
		if k.warmup.Rates[u.Service] > 0 {
			k.coldShareOf(u, now).usedPoll = n.PolledAt
		}
		return true
	}
	s, _, _ := k.refillCold(u, now.Before(n.WarmAt), now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// isHeldBack reports whether the upstream is cold, or may be because it was not polled lately; the caller holds mu.
func (k *Keeper) isHeldBack(u roster.Upstream, n notice.State, now time.Time) bool {
	if k.warmup.Rates[u.Service] == 0 {
		return false
	}
	age := now.Sub(n.PolledAt)
	isChecked := age <= freshAge || age <= checkedAge && !k.coldShareOf(u, now).usedPoll.Equal(n.PolledAt)
	return now.Before(n.WarmAt) || !isChecked
}

// coldShareOf returns this VM's share of the upstream as it last was; the caller holds mu.
func (k *Keeper) coldShareOf(u roster.Upstream, now time.Time) *coldShare {
	s := k.cold[u.ID]
	if s == nil || s.startedMS != u.StartedMS {
		// The first requests of VMs that start together are spread over the time.
		s = &coldShare{startedMS: u.StartedMS, version: -1, updated: now, tokens: fraction(Weight(u.ID, k.vm))}
		k.cold[u.ID] = s
	}
	return s
}

// refillCold returns the VM's share of the upstream after it has grown until now, its rate and that of the fleet in requests per
// second; the caller holds mu. A VM saves up a single request.
func (k *Keeper) refillCold(u roster.Upstream, isCold bool, now time.Time) (s *coldShare, rate, fleetRate float64) {
	s = k.coldShareOf(u, now)
	warmup := k.warmup.Rates[u.Service]
	bound := warmup*k.warmup.Overage + k.warmup.Slack
	if s.version != k.version {
		s.rank, s.candidates, s.isNear = k.coldRank(u, int(min(bound, maxSharers)))
		s.version = k.version
	}
	part := coldSharers * bound
	fleetRate = min(warmup*(1+coldExcess*max(k.warmup.Overage-1, 0)), part)
	switch {
	case isCold && !s.isNear:
		part = 0
	case isCold:
	case s.isNear:
		part = nearUnchecked * bound
		fleetRate = uncheckedFill * part
	default:
		part = farUnchecked * bound
		fleetRate = uncheckedFill * part
	}
	elapsed := now.Sub(s.updated).Seconds()
	s.updated = now
	sharers := min(math.Floor(part), float64(s.candidates))
	if float64(s.rank) >= sharers {
		s.tokens = 0
		return s, 0, fleetRate
	}
	rate = fleetRate / sharers
	s.tokens = min(s.tokens+rate*elapsed, max(1, rate*burstTime.Seconds()))
	return s, rate, fleetRate
}

// coldRank returns this VM's place among the VMs that share the upstream, their number, and whether they are those of its failure
// domain: VMs of other domains have a place among all of those, unless there are none of the upstream's. The place is counted up to
// the limit only, as thousands of VMs may share hundreds of upstreams. Before the VMs are known, a VM takes part at random if it
// knows their number.
func (k *Keeper) coldRank(u roster.Upstream, limit int) (rank, candidates int, isNear bool) {
	if len(k.vms) == 0 {
		return int(unknownFleet * fraction(Weight(k.vm, u.ID)) * float64(k.size)), k.size, true
	}
	near := k.vms[u.FailureDomain]
	isNear = len(near) == 0 || slices.Contains(near, k.vm)
	own, isMember := Weight(k.vm, u.ID), false
	for domain, names := range k.vms {
		if len(near) > 0 && isNear != (domain == u.FailureDomain) {
			continue
		}
		candidates += len(names)
		isMember = isMember || slices.Contains(names, k.vm)
		for _, name := range names {
			if rank >= limit {
				break
			}
			if Weight(name, u.ID) < own {
				rank++
			}
		}
	}
	if !isMember {
		rank = max(limit, candidates)
	}
	return rank, candidates, isNear
}

// fraction maps a hash to the range from 0 to 1.
func fraction(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}
