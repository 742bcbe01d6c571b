package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/grace"
)

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
	// Serving reports whether the VM serves callers.
	Serving bool
	// CutOff reports whether the VM reaches no upstream.
	CutOff bool
	// HasOrganisations reports whether the VM serves passed requests of organisations. VMs of an earlier release state nothing.
	HasOrganisations bool
	// Sequence counts the changes of Serving and CutOff in the incarnation.
	Sequence uint64
}

// Fleet is the set of known VMs. It is safe for concurrent use.
type Fleet struct {
	self VM

	mu sync.Mutex
	// registered holds the VMs that are registered in the store, and present those that are listed by the VMs themselves.
	registered *grace.Set[VM]
	present    map[string]VM
	// ended holds the incarnations of the VMs that were listed by the VMs themselves and no longer are, by name. Their registrations may
	// last for longer: leases don't run while the store is away.
	ended map[string]string
	// isStale reports whether registrations may have ended without this VM's knowledge.
	isStale bool
	// list and the fields after it follow from the others. list is nil after a change, until it is used.
	list []VM
	// confirmed holds the VMs of list but those that only a registration which may have ended speaks for.
	confirmed []VM
	// addresses holds the IP addresses of the other VMs of list; it is nil until it is used.
	addresses map[netip.Addr]bool
	// sharers and localSharers are the numbers of VMs that share the limits of the fleet, and of those of them in this VM's
	// failure domain.
	sharers, localSharers int
	relays                []VM
	serving, cutOff       bool
	leaving               bool
	// storedSize is the size of the fleet that the store states, or 0 if it isn't known.
	storedSize int
	// sizeLost reports that the store no longer states a size.
	sizeLost bool
}

// New returns a fleet that has only this process's VM.
func New(self VM) *Fleet {
	return &Fleet{self: self, registered: grace.New[VM](), ended: make(map[string]string)}
}

// Self returns this process's VM.
func (f *Fleet) Self() VM {
	return f.self
}

// SetState records whether this VM serves callers and whether it reaches no upstream.
func (f *Fleet) SetState(serving, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.serving != serving || f.cutOff != cutOff {
		f.serving, f.cutOff = serving, cutOff
		f.list = nil
	}
}

// Leave takes this VM out of the list permanently.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.list = nil
}

// SetPresent replaces the VMs that are listed by the VMs themselves.
func (f *Fleet) SetPresent(list []VM) {
	present := make(map[string]VM, len(list))
	for _, vm := range list {
		present[vm.Name] = vm
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, vm := range f.present {
		f.ended[name] = vm.Incarnation
	}
	maps.DeleteFunc(f.ended, func(name, _ string) bool {
		_, isPresent := present[name]
		_, isRegistered, _ := f.registered.Get(name)
		return isPresent || !isRegistered
	})
	f.present = present
	f.list = nil
}

// SetStale records whether registrations may have ended without this VM's knowledge, because the last contact with the store is older
// than their leases.
func (f *Fleet) SetStale(isStale bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isStale != isStale {
		f.isStale = isStale
		f.list = nil
	}
}

// SetStoredSize records the size of the fleet that the store states.
func (f *Fleet) SetStoredSize(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storedSize, f.sizeLost = n, false
}

// LoseStoredSize records that the store states no size. The last one is still used.
func (f *Fleet) LoseStoredSize() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizeLost = true
}

// IsSizeLost reports whether the store has lost the size of the fleet.
func (f *Fleet) IsSizeLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sizeLost
}

// StoredSize returns the size of the fleet that the store stated last, or 0 if it isn't known.
func (f *Fleet) StoredSize() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storedSize
}

// KnownSize returns the number of VMs, or 0 if neither the store states it nor the VMs have listed themselves.
func (f *Fleet) KnownSize() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	if len(f.present) == 0 {
		return f.storedSize
	}
	return max(len(f.list), f.storedSize)
}

// Sharers returns the number of VMs that share the limits of the fleet, and of those in this VM's failure domain: this VM and those
// that reach upstreams. If this VM reaches none, all VMs count, because the others may reach none either. Until the VMs have listed
// themselves, the number is the size that the store states if that is larger.
func (f *Fleet) Sharers() (vms, local int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	if len(f.present) == 0 {
		return max(f.sharers, f.storedSize), max(f.localSharers, f.storedSize)
	}
	return f.sharers, f.localSharers
}

// IsListed reports whether the store lists the present incarnation of this VM.
func (f *Fleet) IsListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm, _, listed := f.registered.Get(f.self.Name)
	return listed && vm.Incarnation == f.self.Incarnation
}

// BeginGrace begins the grace period after an outage of the store.
func (f *Fleet) BeginGrace(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registered.BeginGrace(now)
}

// Put adds or changes a VM and reports whether that changes the list.
func (f *Fleet) Put(vm VM) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, _, listed := f.registered.Get(vm.Name)
	if listed && old == vm {
		return false
	}
	f.registered.Put(vm.Name, vm)
	f.list = nil
	return true
}

// Remove removes a VM, at once or at the end of the grace period, and reports whether it was known.
func (f *Fleet) Remove(name string, now time.Time) (known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = f.registered.Remove(name, false, now)
	f.list = nil
	return known
}

// Replace applies a whole list; VMs that it lacks are removed.
func (f *Fleet) Replace(list []VM, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.Name] = true
		f.registered.Put(vm.Name, vm)
	}
	f.registered.Retain(listed, func(VM) bool { return false }, now)
	f.list = nil
}

// Expire drops the removed VMs whose grace period has ended.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registered.Expire(now) > 0 {
		f.list = nil
	}
}

// List returns the VMs by name, including this VM unless it leaves. The caller must not change the slice.
func (f *Fleet) List() []VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	return f.list
}

// HasAddress reports whether another VM of the list has the IP address.
func (f *Fleet) HasAddress(ip netip.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	if f.addresses == nil {
		f.addresses = make(map[netip.Addr]bool, len(f.list))
		for _, vm := range f.list {
			// An address that can't be parsed is that of no sender.
			if address, err := netip.ParseAddrPort(vm.Address); err == nil && vm.Name != f.self.Name {
				f.addresses[address.Addr().Unmap()] = true
			}
		}
	}
	return f.addresses[ip.Unmap()]
}

// Confirmed is like List without the VMs that the VMs don't list themselves, if they have listed them before or if registrations may
// have ended. Before the VMs have listed themselves, it is the same as List.
func (f *Fleet) Confirmed() []VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	return f.confirmed
}

// Settled is like List, but returns no VMs while many may be missing: before the VMs have listed themselves, and until the list has
// half of the size that the store states.
func (f *Fleet) Settled() []VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	if len(f.present) == 0 || 2*len(f.list) < f.storedSize {
		return nil
	}
	return f.list
}

// Relays returns the VMs that are registered in the store in no particular order. The caller must not change the slice.
func (f *Fleet) Relays() []VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild()
	return f.relays
}

// IsRelay reports whether the store lists this VM or an earlier incarnation of it.
func (f *Fleet) IsRelay() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, found, _ := f.registered.Get(f.self.Name)
	return found
}

// isConfirmed reports whether more speaks for the VM than a registration that may have ended; the caller holds mu.
func (f *Fleet) isConfirmed(name string) bool {
	if _, isPresent := f.present[name]; isPresent || len(f.present) == 0 || name == f.self.Name {
		return true
	}
	vm, _, isRegistered := f.registered.Get(name)
	ended, hasEnded := f.ended[name]
	return isRegistered && !f.isStale && !(hasEnded && ended == vm.Incarnation)
}

// rebuild sets list, relays and the numbers of sharers unless they are valid; the caller holds mu.
func (f *Fleet) rebuild() {
	if f.list != nil {
		return
	}
	vms := make(map[string]VM, len(f.present)+1)
	var relays []VM
	for name, vm := range f.registered.All {
		// A VM registers itself when it serves callers or is about to.
		vm.Serving = true
		vms[name] = vm
		relays = append(relays, vm)
	}
	for name, vm := range f.present {
		vms[name] = vm
	}
	delete(vms, f.self.Name)
	if !f.leaving {
		self := f.self
		self.Serving, self.CutOff = f.serving, f.cutOff
		vms[self.Name] = self
	}
	list, confirmed := make([]VM, 0, len(vms)), make([]VM, 0, len(vms))
	f.sharers, f.localSharers = 0, 0
	for _, vm := range vms {
		list = append(list, vm)
		if f.isConfirmed(vm.Name) {
			confirmed = append(confirmed, vm)
		}
		if vm.CutOff && !f.cutOff {
			continue
		}
		f.sharers++
		if vm.FailureDomain == f.self.FailureDomain {
			f.localSharers++
		}
	}
	byName := func(a, b VM) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(list, byName)
	slices.SortFunc(confirmed, byName)
	f.list, f.confirmed, f.relays, f.addresses = list, confirmed, relays, nil
}
