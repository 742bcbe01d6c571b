package topology

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

const (
	// maxDirectFollowers is the largest fleet in which all VMs follow the watcher. Each calls it once a second.
	maxDirectFollowers = 120
	// vmsPerRelay is the number of VMs of a failure domain for each of its relays.
	vmsPerRelay = 40
	// minRelays is the smallest number of relays of a failure domain, so that one may fail, and minTotal that of the fleet, so
	// that the watcher and its standby may.
	minRelays = 2
	minTotal  = 6
	// smallFleet is the largest fleet in which every VM is a relay. Its VMs may all call the store when they start.
	smallFleet = 30
	// alternatives is the number of relays that a VM may follow besides the watcher and its standby.
	alternatives = 2
	// maxFallback is the number of relays that a relay may follow while it doesn't reach the store. With half of the VMs in that
	// state, one of them reaches it 99 times in 100.
	maxFallback = 8
)

// Tier is the distance of a VM from the store.
type Tier int

const (
	// Watcher is the tier of the VM that watches the store.
	Watcher Tier = iota
	// Standby is the tier of the VM that takes over from the watcher.
	Standby
	// Relay is the tier of the other relays. They follow the watcher.
	Relay
	// Direct is the tier of VMs that follow the watcher and aren't relays.
	Direct
	// Indirect is the tier of the VMs that follow a relay.
	Indirect
)

// Place is the position of a VM in the hierarchy of followers.
type Place struct {
	// Tier is the distance from the store.
	Tier Tier
	// Rank is the position of the VM in the order of the relays, or -1 if it isn't one.
	Rank int
	// Sources are the VMs to follow, the preferred one first; a watcher has none.
	Sources []fleet.VM
	// Fallback are the VMs to follow if neither the sources nor the store can be reached.
	Fallback []fleet.VM
	// LacksRelay reports whether the failure domain has no relay, so that the sources are in other ones.
	LacksRelay bool
}

// New returns the place of the VM self in a fleet with the relays and the number of VMs, which is 0 if it isn't known. The
// order of the relays depends on their link rates and names only, so that all VMs agree on the watcher also right after all of
// them have restarted.
func New(self fleet.VM, relays []fleet.VM, vms int) Place {
	order := Order(relays)
	rank := slices.IndexFunc(order, func(vm fleet.VM) bool { return vm.Name == self.Name })
	switch {
	case rank == 0 || len(order) == 0:
		return Place{Tier: Watcher, Rank: rank, Fallback: fallback(order, rank)}
	case rank == 1:
		return Place{Tier: Standby, Rank: rank, Sources: order[:1], Fallback: fallback(order, rank)}
	case rank > 1:
		return Place{Tier: Relay, Rank: rank, Sources: order[:2], Fallback: fallback(order, rank)}
	case vms > 0 && vms <= maxDirectFollowers:
		// If the first two fail, the next relays call the store, and the others follow these.
		return Place{Tier: Direct, Rank: rank, Sources: order[:min(len(order), 2+alternatives)]}
	}
	// The watcher already has the relays as followers.
	var near []fleet.VM
	for _, vm := range order[1:] {
		if vm.FailureDomain == self.FailureDomain {
			near = append(near, vm)
		}
	}
	lacksRelay := len(near) == 0
	if lacksRelay {
		near = order
	}
	// The hash spreads the followers evenly over the relays.
	first := int(xxhash.Sum64String(self.Name) % uint64(len(near)))
	var sources []fleet.VM
	for i := range min(alternatives, len(near)) {
		sources = append(sources, near[(first+i)%len(near)])
	}
	for _, vm := range order[:min(len(order), 2)] {
		if !slices.ContainsFunc(sources, func(s fleet.VM) bool { return s.Name == vm.Name }) {
			sources = append(sources, vm)
		}
	}
	return Place{Tier: Indirect, Rank: rank, Sources: sources, LacksRelay: lacksRelay}
}

// Order returns the relays in the order in which they take on duties for the whole fleet.
func Order(relays []fleet.VM) []fleet.VM {
	order := slices.Clone(relays)
	slices.SortFunc(order, compare)
	return order
}

// Near returns the relays to which the VM self reports, in the order of preference: those of its failure domain, evenly spread over the
// VMs, and then the others. The first relay of the order has duties for the whole fleet and comes last in its failure domain.
func Near(self fleet.VM, order []fleet.VM) []fleet.VM {
	var near, far []fleet.VM
	for i, vm := range order {
		switch {
		case vm.FailureDomain != self.FailureDomain:
			far = append(far, vm)
		case i > 0:
			near = append(near, vm)
		}
	}
	if n := len(near); n > 0 {
		first := int(xxhash.Sum64String(self.Name) % uint64(n))
		near = slices.Concat(near[first:], near[:first])
	}
	if len(order) > 0 && order[0].FailureDomain == self.FailureDomain {
		near = append(near, order[0])
	}
	return append(near, far...)
}

// fallback returns the relays that follow the rank in the order, and then those before it, without the watcher and its
// standby for other relays, which follow these anyway.
func fallback(order []fleet.VM, rank int) []fleet.VM {
	var list []fleet.VM
	if rank >= 0 && rank+1 < len(order) {
		list = append(list, order[rank+1:]...)
	}
	if rank > 2 {
		list = append(list, order[2:rank]...)
	}
	return list[:min(len(list), maxFallback)]
}

// IsSmall reports whether a fleet of the size has only relays; the size is 0 if it isn't known.
func IsSmall(vms int) bool {
	return vms > 0 && vms <= smallFleet
}

// ShouldRelay reports whether the VM self should be a relay, by its rank among all VMs of its failure domain. A small fleet
// has to be known as such: a VM that has just started may know few others of a large one.
func ShouldRelay(self fleet.VM, vms []fleet.VM, isSmall bool) bool {
	if isSmall {
		return true
	}
	size, rank, domains := 1, 0, map[string]bool{self.FailureDomain: true}
	for _, vm := range vms {
		domains[vm.FailureDomain] = true
		if vm.FailureDomain != self.FailureDomain || vm.Name == self.Name {
			continue
		}
		size++
		if compare(vm, self) < 0 {
			rank++
		}
	}
	return rank < max(minRelays, ceilDiv(minTotal, len(domains)), ceilDiv(size, vmsPerRelay))
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

const (
	// fastLink is the link rate in Mbit/s from which on a VM is preferred as a relay.
	fastLink = 100
	// fastWindow and slowWindow bound the time in which a VM without a relay to follow becomes one itself; slowOffset is
	// the head start of VMs with fast links.
	fastWindow = 1500 * time.Millisecond
	slowWindow = 4 * time.Second
	slowOffset = 1500 * time.Millisecond
	// doublings is the number of times by which the rate of such VMs doubles within the window. A few of thousands
	// become relays early, and the others find these.
	doublings = 12
)

// ElectionDelay returns the time for which a starting VM looks for a relay before it becomes one itself; u is a random
// number in [0, 1).
func ElectionDelay(linkRate, u float64) time.Duration {
	part := math.Log2(1+u*(math.Exp2(doublings)-1)) / doublings
	if linkRate > 0 && linkRate < fastLink {
		return slowOffset + time.Duration(part*float64(slowWindow))
	}
	return time.Duration(part * float64(fastWindow))
}

// compare orders VMs by link rate, the fastest first, and then by the hashes of their names.
func compare(a, b fleet.VM) int {
	return cmp.Or(cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
}
