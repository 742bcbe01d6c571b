package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/notice"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// sharersPerRate is the number of VMs that share an upstream, per request per second of its limit. Upstreams tolerate
	// 6 times their limit and 5 requests in 4 s. The sharers together send at most 5.2 times the limit, of which 1.2 are
	// saved up, and savedRequests; the rest is for VMs that disagree about the fleet.
	sharersPerRate = 1.2
	// savedRequests is the number of requests that the sharers of an upstream may save up together beyond one each.
	savedRequests = 2
	// burstTime is the time for which a VM with a large share may save up requests.
	burstTime = 100 * time.Millisecond
	// pollInterval is the age of a limit above which a poll is due.
	pollInterval = time.Second
	// rampDoubling is the time in which the rate doubles after a limit has ended, and minRampRate the rate in requests per
	// second with which it begins at least. All VMs would find an idle upstream at the same time otherwise.
	rampDoubling = 500 * time.Millisecond
	minRampRate  = 0.5
	// maxRequests bounds the requests that may be sent at once. A very large limit allows more than an int can hold.
	maxRequests = 1e9
)

// Keeper keeps this VM's quotas of upstreams. It is safe for concurrent use.
type Keeper struct {
	vm      string
	notices *notice.Table

	mu sync.Mutex
	// vms holds the names of the serving VMs by failure domain; it is empty while the fleet isn't known.
	vms map[string][]string
	// version counts the changes of vms.
	version int
	all     map[string]*share
	// warmup holds the limits of cold upstreams by service, and cold this VM's shares of them.
	warmup Warmup
	cold   map[string]*coldShare
	// size is the stored size of the fleet, or 0 if it isn't known.
	size int
	// held counts the requests that the warm-up rate of a cold upstream kept from it.
	held uint64
}

// share is this VM's share of the limit of one incarnation of an upstream.
type share struct {
	startedMS int64
	// rank is this VM's place in the order of the candidates that may use the upstream, of which there are the given number.
	// It is at least that number if this VM is none. Both belong to a version of the fleet.
	rank, candidates, version int
	// tokens is the number of requests that may be sent, at the time updated.
	tokens  float64
	updated time.Time
}

// New returns a keeper for the VM that doesn't know the fleet yet.
func New(vm string, notices *notice.Table) *Keeper {
	return &Keeper{vm: vm, notices: notices, all: make(map[string]*share), cold: make(map[string]*coldShare)}
}

// SetVMs replaces the VMs of the fleet, of which only those that serve callers and reach upstreams count. While the list is empty, nothing may be
// sent to upstreams with a limit.
func (k *Keeper) SetVMs(list []fleet.VM) {
	vms := make(map[string][]string)
	for _, vm := range list {
		if vm.IsReaching() {
			vms[vm.FailureDomain] = append(vms[vm.FailureDomain], vm.Name)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	isSame := len(vms) == len(k.vms)
	for domain, names := range vms {
		isSame = isSame && slices.Equal(names, k.vms[domain])
	}
	if isSame {
		return
	}
	k.vms = vms
	k.version++
}

// Check returns what this VM may send to the upstream.
func (k *Keeper) Check(u roster.Upstream, now time.Time) Permit {
	n := k.notices.Get(u, now)
	switch {
	case n.Leaving:
		return Permit{Wait: Never}
	case n.PausedFor > 0:
		return Permit{Wait: n.PausedFor}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	cold := k.checkCold(u, n, now)
	if cold.Requests == 0 || !n.HasLimit {
		return cold
	}
	p := Permit{WarmAt: cold.WarmAt, PollDue: n.LimitEnded == 0 && n.LimitAge > pollInterval}
	limit := effectiveLimit(n)
	s, rate := k.refill(u, limit, now)
	if s.tokens >= 1 {
		p.Requests = min(int(min(s.tokens, maxRequests)), cold.Requests)
		return p
	}
	p.Wait, p.FleetRate = Never, limit
	if rate > 0 {
		p.Wait = time.Duration(min((1-s.tokens)/rate*float64(time.Second), float64(Never)))
	}
	return p
}

// Take takes one request from the quota of the upstream and reports whether it may be sent.
func (k *Keeper) Take(u roster.Upstream, now time.Time) bool {
	n := k.notices.Get(u, now)
	if n.Leaving || n.PausedFor > 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !n.HasLimit {
		return k.takeCold(u, n, now)
	}
	s, _ := k.refill(u, effectiveLimit(n), now)
	if s.tokens < 1 || !k.takeCold(u, n, now) {
		return false
	}
	s.tokens--
	return true
}

// Retain deletes the shares of upstreams that are no longer known.
func (k *Keeper) Retain(isKnown func(id string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.all {
		if !isKnown(id) {
			delete(k.all, id)
		}
	}
	for id := range k.cold {
		if !isKnown(id) {
			delete(k.cold, id)
		}
	}
}

// effectiveLimit returns the limit by which the fleet sends, which grows after the stated one has ended.
func effectiveLimit(n notice.State) float64 {
	if n.LimitEnded == 0 {
		return n.Limit
	}
	return min(max(n.Limit, minRampRate)*math.Exp2(n.LimitEnded.Seconds()/rampDoubling.Seconds()), math.MaxFloat64)
}

// refill returns the VM's share of the upstream after it has grown until now, and its rate in requests per second; the caller
// holds mu.
func (k *Keeper) refill(u roster.Upstream, limit float64, now time.Time) (s *share, rate float64) {
	s = k.all[u.ID]
	if s == nil || s.startedMS != u.StartedMS {
		s = &share{startedMS: u.StartedMS, updated: now, version: -1}
		k.all[u.ID] = s
	}
	if s.version != k.version {
		s.rank, s.candidates = k.rank(u)
		s.version = k.version
	}
	elapsed := now.Sub(s.updated).Seconds()
	s.updated = now
	sharers := max(min(math.Floor(sharersPerRate*limit), float64(s.candidates)), 1)
	if float64(s.rank) >= sharers {
		s.tokens = 0
		return s, 0
	}
	rate = limit / sharers
	s.tokens = min(s.tokens+rate*elapsed, max((sharersPerRate*limit+savedRequests)/sharers, rate*burstTime.Seconds()))
	return s, rate
}

// rank returns this VM's place in the order of the VMs that may use the upstream, and their number: those of its failure
// domain, or all of them if there are none. The caller holds mu.
func (k *Keeper) rank(u roster.Upstream) (rank, candidates int) {
	names := k.vms[u.FailureDomain]
	if len(names) == 0 {
		for _, all := range k.vms {
			names = append(names, all...)
		}
	}
	if !slices.Contains(names, k.vm) {
		return len(names) + 1, len(names)
	}
	own := Weight(k.vm, u.ID)
	for _, name := range names {
		if Weight(name, u.ID) < own {
			rank++
		}
	}
	return rank, len(names)
}

// Weight orders the VMs of an upstream and the upstreams of a VM: the lowest come first.
func Weight(vm, upstream string) uint64 {
	return xxhash.Sum64String(vm + " " + upstream)
}
