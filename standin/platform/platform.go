package platform

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

const (
	// MaxValueBytes is the maximum size of a value in bytes.
	MaxValueBytes = 1_000_000
	// WritesPerSecond and ReadsPerSecond are the store's rate limits; the burst is one second's calls.
	WritesPerSecond = 300
	ReadsPerSecond  = 2000
	// maxVersions is the number of versions of a key, with the current one, that are kept for RollBack.
	maxVersions = 256
)

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	writes, reads *rate.Limiter

	mu            sync.Mutex
	faults        Faults
	keys          map[string][]entry // oldest first
	leases        map[string]lease
	lists         []vmListVersion // oldest first
	counts        Counts
	changed       chan struct{} // closed and replaced at each change of keys or faults
	delayedWrites sync.WaitGroup
}

// Faults are the injected faults; the zero value has none.
type Faults struct {
	// Outage closes every connection to the store without an answer, including those of waiting watches.
	Outage bool
	// VMListOutage closes every connection to the VM list without an answer.
	VMListOutage bool
	// Delay delays each call to the store.
	Delay time.Duration
	// LoseAnswers closes the connection without an answer after a write has taken effect.
	LoseAnswers bool
	// DelayWrites, if positive, closes the connection of a write at once and applies the write after this time.
	DelayWrites time.Duration
	// VMListLag is the age of the VM list that callers see.
	VMListLag time.Duration
}

// Counts are the numbers of calls received so far, including refused ones.
type Counts struct {
	// ByEndpoint counts calls by endpoint: get, watch, put, lease and vms.
	ByEndpoint map[string]int
	// ByKey counts the calls of get, watch and put by key of the store.
	ByKey map[string]int
	// Limited is the number of calls above the rate limits.
	Limited int
}

type entry struct {
	data    []byte
	version uint64
}

type lease struct {
	holder string
	expiry time.Time
}

type vmListVersion struct {
	setAt time.Time
	vms   []vmlist.VM
}

// New returns a platform without keys, VMs or faults.
func New() *Platform {
	return &Platform{
		writes:  rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		keys:    make(map[string][]entry),
		leases:  make(map[string]lease),
		counts:  Counts{ByEndpoint: make(map[string]int), ByKey: make(map[string]int)},
		changed: make(chan struct{}),
	}
}

// Wait returns once all delayed writes have been applied.
func (p *Platform) Wait() {
	p.delayedWrites.Wait()
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatches()
}

// SetVMs sets the actual VM list, which callers see after the lag. The first list is visible at once.
func (p *Platform) SetVMs(vms []vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, vmListVersion{setAt: time.Now(), vms: vms})
}

// RollBack restores a key to an earlier version, with its value and version number, or deletes it for version 0.
func (p *Platform) RollBack(key string, version uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, e := range p.keys[key] {
		if e.version == version {
			p.keys[key] = p.keys[key][:i+1]
			p.notifyWatches()
			return nil
		}
	}
	if version != 0 {
		return errors.Newf("platform: key %q has no version %d", key, version)
	}
	delete(p.keys, key)
	p.notifyWatches()
	return nil
}

// Counts returns a copy of the counts.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := Counts{ByEndpoint: make(map[string]int), ByKey: make(map[string]int), Limited: p.counts.Limited}
	for k, n := range p.counts.ByEndpoint {
		c.ByEndpoint[k] = n
	}
	for k, n := range p.counts.ByKey {
		c.ByKey[k] = n
	}
	return c
}

// Total returns the number of calls to all endpoints.
func (c Counts) Total() int {
	total := 0
	for _, n := range c.ByEndpoint {
		total += n
	}
	return total
}

// Value returns a key's value and version, or version 0 if the key does not exist. The read is not counted.
func (p *Platform) Value(key string) ([]byte, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.latest(key)
	return e.data, e.version
}

// Put writes a value if the key has the expected version. It returns the resulting version and reports whether it wrote
// the value. The write is not counted, and faults don't apply to it.
func (p *Platform) Put(key string, expect uint64, data []byte) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.latest(key).version; v != expect {
		return v, false
	}
	values := append(p.keys[key], entry{data: data, version: expect + 1})
	p.keys[key] = values[max(0, len(values)-maxVersions):]
	p.notifyWatches()
	return expect + 1, true
}

// acquire takes or renews a lease and returns its holder. It reports whether the lease is held by the caller.
func (p *Platform) acquire(name, holder string, ttl time.Duration) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if l, ok := p.leases[name]; ok && l.holder != holder && now.Before(l.expiry) {
		return l.holder, false
	}
	p.leases[name] = lease{holder: holder, expiry: now.Add(ttl)}
	return holder, true
}

// visibleVMs returns the newest VM list that is at least as old as the lag, or the first one if none is.
func (p *Platform) visibleVMs() []vmlist.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-p.faults.VMListLag)
	for i := len(p.lists) - 1; i >= 0; i-- {
		if i == 0 || !p.lists[i].setAt.After(cutoff) {
			return p.lists[i].vms
		}
	}
	return nil
}

// latest returns the key's current entry; the caller holds mu.
func (p *Platform) latest(key string) entry {
	values := p.keys[key]
	if len(values) == 0 {
		return entry{}
	}
	return values[len(values)-1]
}

// notifyWatches wakes the waiting watches; the caller holds mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// lookup returns the key's entry, the injected faults and a channel that is closed at the next change.
func (p *Platform) lookup(key string) (entry, Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest(key), p.faults, p.changed
}

// count counts a call and reports whether it is within the rate limit; a nil limit allows every call.
func (p *Platform) count(endpoint, key string, limit *rate.Limiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.ByEndpoint[endpoint]++
	if key != "" {
		p.counts.ByKey[key]++
	}
	if limit != nil && !limit.Allow() {
		p.counts.Limited++
		return false
	}
	return true
}
