package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/lapse"
)

// Upstream is one instance of a service.
type Upstream struct {
	// ID identifies one life of the upstream, unless it was born again under it.
	ID string
	// Service, Address and FailureDomain tell what it serves and where.
	Service, Address, FailureDomain string
	// Slots is the number of requests it runs at once.
	Slots int
	// Draining tells that it takes no new requests.
	Draining bool
	// WarmAt is the time at which it has reached its full speed.
	WarmAt time.Time
	// Born is the time of its start in ms of Unix time, or 0 if it is not stated.
	Born int64
}

// Roster is the set of known upstreams. It serves many goroutines.
type Roster struct {
	mu       sync.RWMutex
	all      *lapse.Set[Upstream]
	services map[string][]Upstream
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{all: lapse.New[Upstream](), services: make(map[string][]Upstream)}
}

// Regained tells the roster that the store has returned after an outage.
func (r *Roster) Regained(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.Regained(now)
}

// Put adds or changes an upstream and tells whether that changes what callers may use.
func (r *Roster) Put(u Upstream) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.put(u) {
		return false
	}
	r.rebuild()
	return true
}

// Remove takes an upstream away, at once or at the end of the grace period, and tells whether it was known.
func (r *Roster) Remove(id string, now time.Time) (known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A draining upstream ends as announced.
	u, _, _ := r.all.Get(id)
	known = r.all.Remove(id, u.Draining, now)
	if known {
		r.rebuild()
	}
	return known
}

// Replace takes over a whole list; upstreams that it lacks are removed.
func (r *Roster) Replace(list []Upstream, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.put(u)
	}
	r.all.Retain(listed, func(u Upstream) bool { return u.Draining }, now)
	r.rebuild()
}

// Expire ends the removed upstreams whose grace has passed and returns their number.
func (r *Roster) Expire(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.all.Expire(now)
	if n > 0 {
		r.rebuild()
	}
	return n
}

// Usable returns the upstreams of the service that take requests; the caller doesn't change the slice.
func (r *Roster) Usable(service string) []Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[service]
}

// IsUsable tells whether the upstream still takes requests in the same life.
func (r *Roster) IsUsable(u Upstream) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known, found, _ := r.all.Get(u.ID)
	return found && !known.Draining && known.Born == u.Born && known.Address == u.Address
}

// Has tells whether an upstream with the identifier is known.
func (r *Roster) Has(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, found, _ := r.all.Get(id)
	return found
}

// Len returns the number of known upstreams.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.all.Len()
}

// put takes over an entry unless it changes nothing or is a late write of an earlier life; the caller holds mu.
func (r *Roster) put(u Upstream) bool {
	old, found, listed := r.all.Get(u.ID)
	if found && (listed && old == u || u.Born != 0 && u.Born < old.Born) {
		return false
	}
	r.all.Put(u.ID, u)
	return true
}

// rebuild lists the usable upstreams by service; the caller holds mu.
func (r *Roster) rebuild() {
	services := make(map[string][]Upstream)
	for _, u := range r.all.All {
		if !u.Draining {
			services[u.Service] = append(services[u.Service], u)
		}
	}
	for _, some := range services {
		slices.SortFunc(some, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	r.services = services
}
