package directory

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

const (
	// MaxAddresses is the largest number of addresses of an answer; the platform's protocol lets callers use no more.
	MaxAddresses = 64
	// minLocal is the number of VMs in the caller's failure domain below which VMs of other failure domains are added, so
	// that a caller has an alternative if one VM fails.
	minLocal = 2
)

// Answer is the answer to a caller that looks up addresses.
type Answer struct {
	// Addresses are the addresses of the VMs, those in the caller's failure domain first.
	Addresses []string
	// Lifetime is how long the caller may keep the answer.
	Lifetime time.Duration
}

// New returns the answer for a caller in the failure domain.
//
// It holds only VMs of the caller's failure domain if there are enough of them: requests then reach upstreams of that
// failure domain without crossing to another.
func New(vms []fleet.VM, failureDomain string, lifetime time.Duration) Answer {
	a := Answer{Lifetime: lifetime}
	for _, vm := range vms {
		if vm.FailureDomain == failureDomain {
			a.Addresses = append(a.Addresses, vm.Address)
		}
	}
	if len(a.Addresses) < minLocal {
		for _, vm := range vms {
			if vm.FailureDomain != failureDomain {
				a.Addresses = append(a.Addresses, vm.Address)
			}
		}
	}
	a.Addresses = a.Addresses[:min(len(a.Addresses), MaxAddresses)]
	return a
}
