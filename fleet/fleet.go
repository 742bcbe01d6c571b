package fleet

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/lapse"
)

// perReader is the number of VMs for which one VM watches the store: each asks it once a second, which together takes a
// few percent of a small core.
const perReader = 120

// VM is one process of the system that serves callers.
type VM struct {
	// Name identifies the VM.
	Name string
	// Incarnation identifies one run of its process.
	Incarnation string
	// Address is where callers connect to it; PeerAddress is where its peers do, or empty.
	Address, PeerAddress string
	// FailureDomain is the failure domain it stands in.
	FailureDomain string
	// LinkRate is the rate of its network link in Mbit/s, or 0 if it isn't known.
	LinkRate float64
}

// Fleet is the set of registered VMs. It serves many goroutines.
type Fleet struct {
	self VM

	mu   sync.RWMutex
	vms  *lapse.Set[VM]
	list []VM
	// order is the list and the own VM by link rate, the fastest first, and then by the hashes of the incarnations.
	order   []VM
	leaving bool
}

// New returns a fleet that has only the process's own VM.
func New(self VM) *Fleet {
	f := &Fleet{self: self, vms: lapse.New[VM]()}
	f.rebuild()
	return f
}

// Self returns the process's own VM.
func (f *Fleet) Self() VM {
	return f.self
}

// Leave takes the own VM out of the list for good.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.rebuild()
}

// IsListed tells whether the store lists the own VM's present run.
func (f *Fleet) IsListed() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	vm, _, listed := f.vms.Get(f.self.Name)
	return listed && vm.Incarnation == f.self.Incarnation
}

// Regained tells the fleet that the store has returned after an outage.
func (f *Fleet) Regained(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms.Regained(now)
}

// Put adds or changes a VM and tells whether that changes the list.
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

// Remove takes a VM away, at once or at the end of the grace period, and tells whether it was known.
func (f *Fleet) Remove(name string, now time.Time) (known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = f.vms.Remove(name, false, now)
	f.rebuild()
	return known
}

// Replace takes over a whole list.
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

// Expire ends the removed VMs whose grace has passed.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.vms.Expire(now) > 0 {
		f.rebuild()
	}
}

// List returns the VMs by name, the own one among them unless it leaves; the caller doesn't change the slice.
func (f *Fleet) List() []VM {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.list
}

// Readers returns the VMs that the own VM asks for changes in place of the store, the preferred one first; there are none
// if it watches the store for others. VMs with fast links watch, because all others get large changes from them. Among equals
// the hashes of the incarnations decide, so that the duty moves when a process ends. The next in order takes over for one
// that is not heard.
func (f *Fleet) Readers() []VM {
	f.mu.RLock()
	list := f.order
	f.mu.RUnlock()
	watching := (len(list) + perReader - 1) / perReader
	rank := slices.IndexFunc(list, func(vm VM) bool { return vm.Name == f.self.Name })
	if rank < watching {
		return nil
	}
	first := rank % watching
	second := (first + 1) % max(watching, 2)
	if second == rank {
		return list[first : first+1]
	}
	return []VM{list[first], list[second]}
}

// rebuild makes the list; the caller holds mu, except in New.
func (f *Fleet) rebuild() {
	var list []VM
	for name, vm := range f.vms.All {
		if name != f.self.Name {
			list = append(list, vm)
		}
	}
	// A VM that leaves follows the VMs that it followed before, or watches the store until its process ends.
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
