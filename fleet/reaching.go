package fleet

import "slices"

const (
	// minLocal is the number of VMs in a failure domain below which VMs of others are added, so that there is an alternative
	// if one VM fails.
	minLocal = 2
	// maxLocalLoad is the largest load of a VM, as a multiple of the usual one, when it takes over for others of its failure
	// domain that reach no upstream.
	maxLocalLoad = 3
)

// IsReaching reports whether the VM serves callers and reaches upstreams.
func (vm VM) IsReaching() bool {
	return vm.Serving && !vm.CutOff
}

// Reaching returns the VMs that serve callers of the failure domain, those in it first. They are the VMs that reach upstreams, or all
// that serve if none does. VMs of other failure domains are included only if those in it are too few.
func Reaching(vms []VM, failureDomain string) []VM {
	isUsable := VM.IsReaching
	if !slices.ContainsFunc(vms, isUsable) {
		isUsable = func(vm VM) bool { return vm.Serving }
	}
	serving := 0
	var list []VM
	for _, vm := range vms {
		if !vm.Serving || vm.FailureDomain != failureDomain {
			continue
		}
		serving++
		if isUsable(vm) {
			list = append(list, vm)
		}
	}
	if len(list) >= minLocal && maxLocalLoad*len(list) >= serving {
		return list
	}
	for _, vm := range vms {
		if vm.FailureDomain != failureDomain && isUsable(vm) {
			list = append(list, vm)
		}
	}
	return list
}
