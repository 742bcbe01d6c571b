package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/grace"
)

// Upstream is one instance of a service.
type Upstream struct {
	// ID identifies one incarnation of the upstream. If the upstream restarts under the same ID, StartedMS differs.
	ID string
	// Service, Address and FailureDomain are the service that it runs, its IP address and port, and its failure domain.
	Service, Address, FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining reports whether it takes no new requests.
	Draining bool
	// WarmAt is the time at which it reaches its full speed.
	WarmAt time.Time
	// StartedMS is the time of its start in ms of Unix time, or 0 if it is not stated.
	StartedMS int64
}

// Roster is the set of known upstreams. It is safe for concurrent use.
type Roster struct {
	mu      sync.RWMutex
	entries *grace.Set[Upstream]
	// usable holds the usable upstreams by service, and counts their numbers. Both are nil after a change, until they are
	// used: a batch of hundreds of changes then costs one sort.
	usable map[string][]Upstream
	counts map[place]int
	// evacuated holds the failure domains whose upstreams take no requests.
	evacuated map[string]bool
}

// place is a service in a failure domain.
type place struct {
	service, failureDomain string
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: grace.New[Upstream]()}
}

// BeginGrace begins the grace period after an outage of the store.
func (r *Roster) BeginGrace(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries.BeginGrace(now)
}

// Put adds or changes an upstream and reports whether its entry changed.
func (r *Roster) Put(u Upstream) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.put(u)
}

// Remove removes an upstream, at once or at the end of the grace period, and reports whether it was known.
func (r *Roster) Remove(id string, now time.Time) (known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A draining upstream has announced its end and gets no grace period.
	u, _, _ := r.entries.Get(id)
	r.usable = nil
	return r.entries.Remove(id, u.Draining, now)
}

// Replace applies a whole list; upstreams that it lacks are removed.
func (r *Roster) Replace(list []Upstream, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.put(u)
	}
	r.entries.Retain(listed, func(u Upstream) bool { return u.Draining }, now)
	r.usable = nil
}

// Expire drops the removed upstreams whose grace period has ended and returns their number.
func (r *Roster) Expire(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.entries.Expire(now)
	if n > 0 {
		r.usable = nil
	}
	return n
}

// Usable returns the upstreams of the service that take requests. The caller must not change the slice.
func (r *Roster) Usable(service string) []Upstream {
	usable, _ := r.lists()
	return usable[service]
}

// Count returns the number of upstreams of the service in the failure domain that take requests.
func (r *Roster) Count(service, failureDomain string) int {
	_, counts := r.lists()
	return counts[place{service, failureDomain}]
}

// IsUsable reports whether the same incarnation of the upstream still takes requests.
func (r *Roster) IsUsable(u Upstream) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known, found, _ := r.entries.Get(u.ID)
	return found && !known.Draining && !r.evacuated[known.FailureDomain] && known.StartedMS == u.StartedMS && known.Address == u.Address
}

// Has reports whether an upstream with the ID is known.
func (r *Roster) Has(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, found, _ := r.entries.Get(id)
	return found
}

// Get returns the upstream with the ID, and reports whether it is known.
func (r *Roster) Get(id string) (u Upstream, isKnown bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, isKnown, _ = r.entries.Get(id)
	return u, isKnown
}

// Len returns the number of known upstreams.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.entries.Len()
}

// put stores an entry unless it changes nothing or is older than the known one, and reports whether it did; the caller holds
// mu.
func (r *Roster) put(u Upstream) bool {
	old, found, listed := r.entries.Get(u.ID)
	if found && (listed && old == u || isOlder(u, old)) {
		return false
	}
	r.entries.Put(u.ID, u)
	r.usable = nil
	return true
}

// isOlder reports whether the entry is older than the known one: of an earlier incarnation, or of the same one before it
// began to drain, which it does only before it ends.
func isOlder(u, known Upstream) bool {
	if u.StartedMS == 0 {
		return false
	}
	return u.StartedMS < known.StartedMS || u.StartedMS == known.StartedMS && known.Draining && !u.Draining
}

// lists returns the usable upstreams by service and their numbers.
func (r *Roster) lists() (usable map[string][]Upstream, counts map[place]int) {
	r.mu.RLock()
	usable, counts = r.usable, r.counts
	r.mu.RUnlock()
	if usable != nil {
		return usable, counts
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usable == nil {
		r.rebuild()
	}
	return r.usable, r.counts
}

// rebuild lists the usable upstreams by service; the caller holds mu.
func (r *Roster) rebuild() {
	usable, counts := make(map[string][]Upstream), make(map[place]int)
	for _, u := range r.entries.All {
		if !u.Draining && !r.evacuated[u.FailureDomain] {
			usable[u.Service] = append(usable[u.Service], u)
			counts[place{u.Service, u.FailureDomain}]++
		}
	}
	for _, list := range usable {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	r.usable, r.counts = usable, counts
}
