package fleet

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/grace"
)

// vmsPerWatcher is the largest number of VMs for each VM that watches the store. Each follower calls its watcher once a
// second, which together takes a few percent of a small core.
const vmsPerWatcher = 120

// VM is one process of the system that serves callers.
type VM struct {
	// Name identifies the VM.
	Name string
	// Incarnation identifies one run of its process.
	Incarnation string
	// Address is the address for callers, and PeerAddress the address for other VMs, or empty.
	Address, PeerAddress string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// LinkRate is the rate of its network link in Mbit/s, or 0 if it isn't known.
	LinkRate float64
}

// Fleet is the set of registered VMs. It is safe for concurrent use.
type Fleet struct {
	self VM

	mu   sync.RWMutex
	vms  *grace.Set[VM]
	list []VM
	// order holds the VMs of list and this VM by link rate, the fastest first, and then by the hashes of the incarnations.
	order   []VM
	leaving bool
}

// New returns a fleet that has only this process's VM.
func New(self VM) *Fleet {
	f := &Fleet{self: self, vms: grace.New[VM]()}
	f.rebuild()
	return f
}

// Self returns this process's VM.
func (f *Fleet) Self() VM {
	return f.self
}

// Leave takes this VM out of the list permanently.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.rebuild()
}

// IsListed reports whether the store lists the present incarnation of this VM.
func (f *Fleet) IsListed() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	vm, _, listed := f.vms.Get(f.self.Name)
	return listed && vm.Incarnation == f.self.Incarnation
}

// BeginGrace begins the grace period after an outage of the store.
func (f *Fleet) BeginGrace(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms.BeginGrace(now)
}

// Put adds or changes a VM and reports whether that changes the list.
func (f *Fleet) Put(vm VM) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, _, listed := f.vms.Get(vm.Name)
	if listed && old == vm {
		return false
	}
	f.vms.Put(vm.Name, vm)
	f.rebuild()
	return true
}

// Remove removes a VM, at once or at the end of the grace period, and reports whether it was known.
func (f *Fleet) Remove(name string, now time.Time) (known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = f.vms.Remove(name, false, now)
	f.rebuild()
	return known
}

// Replace applies a whole list; VMs that it lacks are removed.
func (f *Fleet) Replace(list []VM, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.Name] = true
		f.vms.Put(vm.Name, vm)
	}
	f.vms.Retain(listed, func(VM) bool { return false }, now)
	f.rebuild()
}

// Expire drops the removed VMs whose grace period has ended.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.vms.Expire(now) > 0 {
		f.rebuild()
	}
}

// List returns the VMs by name, including this VM unless it leaves. The caller must not change the slice.
func (f *Fleet) List() []VM {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.list
}

// Watchers returns the VMs that this VM follows in place of the store, the preferred one first. It returns none if this VM
// watches the store for others. VMs with fast links watch, because all others get large changes from them. Among equal
// rates the hashes of the incarnations decide, so that another VM watches when a process ends. The next VM in order takes
// over from a watcher that fails.
func (f *Fleet) Watchers() []VM {
	f.mu.RLock()
	list := f.order
	f.mu.RUnlock()
	watchers := (len(list) + vmsPerWatcher - 1) / vmsPerWatcher
	rank := slices.IndexFunc(list, func(vm VM) bool { return vm.Name == f.self.Name })
	if rank < watchers {
		return nil
	}
	first := rank % watchers
	second := (first + 1) % max(watchers, 2)
	if second == rank {
		return list[first : first+1]
	}
	return []VM{list[first], list[second]}
}

// rebuild sets list and order; the caller holds mu, except in New.
func (f *Fleet) rebuild() {
	var list []VM
	for name, vm := range f.vms.All {
		if name != f.self.Name {
			list = append(list, vm)
		}
	}
	// A VM that leaves keeps its place in the order: it follows the same VMs, or watches the store until its process ends.
	f.order = append(slices.Clone(list), f.self)
	if !f.leaving {
		list = append(list, f.self)
	}
	slices.SortFunc(list, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	f.list = list
	slices.SortFunc(f.order, func(a, b VM) int {
		return cmp.Or(
			cmp.Compare(b.LinkRate, a.LinkRate),
			cmp.Compare(xxhash.Sum64String(a.Incarnation), xxhash.Sum64String(b.Incarnation)),
		)
	})
}
