package fleet

const (
	// minLocal is the number of VMs in a failure domain below which VMs of others are added, so that there is an alternative
	// if one VM fails.
	minLocal = 2
	// maxLocalLoad is the largest load of a VM, as a multiple of the usual one, when it takes over for others of its failure
	// domain that reach no upstream.
	maxLocalLoad = 3
)

// Reaching returns the VMs that serve callers of the failure domain, those in it first. They are the VMs that reach upstreams, or all
// that serve if none does. VMs of other failure domains are included only if those in it are too few.
func Reaching(vms []VM, failureDomain string) []VM {
	isNoneReaching := true
	for _, vm := range vms {
		isNoneReaching = isNoneReaching && (!vm.Serving || vm.CutOff)
	}
	serving := 0
	var local, remote []VM
	for _, vm := range vms {
		if !vm.Serving {
			continue
		}
		isLocal := vm.FailureDomain == failureDomain
		if isLocal {
			serving++
		}
		switch {
		case vm.CutOff && !isNoneReaching:
		case isLocal:
			local = append(local, vm)
		default:
			remote = append(remote, vm)
		}
	}
	if len(local) < minLocal || maxLocalLoad*len(local) < serving {
		local = append(local, remote...)
	}
	return local
}
