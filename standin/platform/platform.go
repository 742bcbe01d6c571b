package platform

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

const (
	// MaxValue is the largest value in bytes.
	MaxValue = 1_000_000
	// WritesPerSecond and ReadsPerSecond are the store's rates; a burst may use one second's calls at once.
	WritesPerSecond = 300
	ReadsPerSecond  = 2000
	// kept is the number of old values of a key that a roll-back can return to.
	kept = 256
)

// Platform is the stand-in. It serves many goroutines.
type Platform struct {
	writes, reads *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	keys    map[string][]entry // oldest first
	leases  map[string]lease
	lists   []list // oldest first
	counts  Counts
	changed chan struct{} // closed and replaced at each change of keys or faults
	late    sync.WaitGroup
}

// Faults are the faults in effect; the zero Faults has none.
type Faults struct {
	// Outage closes every connection of the store without an answer, also those of waiting watches.
	Outage bool
	// VMListOutage does the same for the VM list.
	VMListOutage bool
	// Delay is added before each call of the store.
	Delay time.Duration
	// LoseAnswers closes the connection without an answer after a write took effect.
	LoseAnswers bool
	// DelayWrites, if positive, closes the connection of a write at once and applies the write after this time.
	DelayWrites time.Duration
	// VMListLag is how old the VM list is that callers see.
	VMListLag time.Duration
}

// Counts are the calls received so far, also refused ones.
type Counts struct {
	// ByEndpoint has the keys get, watch, put, lease and vms.
	ByEndpoint map[string]int
	// ByKey has the store's keys and counts get, watch and put.
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

type list struct {
	at  time.Time
	vms []vmlist.VM
}

// New returns a platform without keys, VMs and faults.
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
	p.late.Wait()
}

// SetFaults replaces the faults in effect.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.signal()
}

// SetVMs sets the real VM list, which callers see after the lag. The first list is seen at once.
func (p *Platform) SetVMs(vms []vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, list{at: time.Now(), vms: vms})
}

// RollBack returns a key to the value and the version number that it had, or removes it for version 0.
func (p *Platform) RollBack(key string, version uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, e := range p.keys[key] {
		if e.version == version {
			p.keys[key] = p.keys[key][:i+1]
			p.signal()
			return nil
		}
	}
	if version != 0 {
		return errors.Newf("platform: key %q has no version %d", key, version)
	}
	delete(p.keys, key)
	p.signal()
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

// Total returns the number of calls of all endpoints.
func (c Counts) Total() int {
	total := 0
	for _, n := range c.ByEndpoint {
		total += n
	}
	return total
}

// Value returns a key's value and version, or version 0 if it does not exist. It is not counted.
func (p *Platform) Value(key string) ([]byte, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.latest(key)
	return e.data, e.version
}

// Put writes a value if the key has the expected version and returns whether it did, and the version after it. It is
// not counted and no fault applies.
func (p *Platform) Put(key string, expect uint64, data []byte) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.latest(key).version; v != expect {
		return v, false
	}
	values := append(p.keys[key], entry{data: data, version: expect + 1})
	p.keys[key] = values[max(0, len(values)-kept):]
	p.signal()
	return expect + 1, true
}

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

// visible returns the newest list that is as old as the lag, or the first one.
func (p *Platform) visible() []vmlist.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := time.Now().Add(-p.faults.VMListLag)
	for i := len(p.lists) - 1; i >= 0; i-- {
		if i == 0 || !p.lists[i].at.After(seen) {
			return p.lists[i].vms
		}
	}
	return nil
}

// latest returns the key's present entry; p.mu is held.
func (p *Platform) latest(key string) entry {
	values := p.keys[key]
	if len(values) == 0 {
		return entry{}
	}
	return values[len(values)-1]
}

// signal wakes the waiting watches; p.mu is held.
func (p *Platform) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// look returns the key's entry, the faults in effect and the channel of the next change.
func (p *Platform) look(key string) (entry, Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest(key), p.faults, p.changed
}

// count counts a call and returns false if it is above the rate of its limiter.
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
