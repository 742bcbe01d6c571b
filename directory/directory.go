package directory

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

const (
	// MaxAddresses is the largest number of addresses that callers use of an answer, by the platform's protocol.
	MaxAddresses = 64
	// minNear is the number of VMs in the caller's failure domain below which VMs of others are added, so that the loss
	// of one VM leaves a caller an alternative.
	minNear = 2
)

// Answer is what a caller is told.
type Answer struct {
	// Addresses are those of the VMs, the nearest first.
	Addresses []string
	// Lifetime is how long the caller may keep the answer.
	Lifetime time.Duration
}

// New returns the answer for a caller in the failure domain.
//
// VMs of the caller's own failure domain come alone if there are enough of them: requests then reach upstreams of that
// failure domain without crossing to another.
func New(vms []fleet.VM, failureDomain string, lifetime time.Duration) Answer {
	a := Answer{Lifetime: lifetime}
	for _, vm := range vms {
		if vm.FailureDomain == failureDomain {
			a.Addresses = append(a.Addresses, vm.Address)
		}
	}
	if len(a.Addresses) < minNear {
		for _, vm := range vms {
			if vm.FailureDomain != failureDomain {
				a.Addresses = append(a.Addresses, vm.Address)
			}
		}
	}
	a.Addresses = a.Addresses[:min(len(a.Addresses), MaxAddresses)]
	return a
}
