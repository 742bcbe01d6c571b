package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

// MaxAddresses is the largest number of addresses of an answer; the platform's protocol lets callers use no more.
const MaxAddresses = 64

// Answer is the answer to a caller that looks up addresses.
type Answer struct {
	// Addresses are the addresses of the VMs, those in the caller's failure domain first.
	Addresses []string
	// Lifetime is how long the caller may keep the answer.
	Lifetime time.Duration
}

// New returns the answer for a caller in the failure domain.
//
// It holds only VMs that serve callers and reach upstreams, and only those of the caller's failure domain if there are enough of
// them: requests then reach upstreams of that failure domain without crossing to another. If there are too many VMs, callers get
// different ones, but each caller mostly the same ones while the fleet changes, so that it can keep its connections.
func New(vms []fleet.VM, failureDomain, caller string, lifetime time.Duration) Answer {
	var addresses []string
	for _, vm := range fleet.Reaching(vms, failureDomain) {
		addresses = append(addresses, vm.Address)
	}
	if len(addresses) > MaxAddresses {
		weight := func(address string) uint64 { return xxhash.Sum64String(caller + "\x00" + address) }
		slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
		addresses = addresses[:MaxAddresses]
	}
	return Answer{Addresses: addresses, Lifetime: lifetime}
}
