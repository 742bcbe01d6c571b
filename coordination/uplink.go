package coordination

import (
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/topology"
)

const (
	// takeoverTime is the time for which calls fail before a relay turns to the next one. That is longer than one call takes to fail.
	takeoverTime = 600 * time.Millisecond
	// retryInterval is the time between two calls of a VM that doesn't answer, and oldInterval that for a VM of an earlier release.
	retryInterval = time.Second
	oldInterval   = 10 * time.Second
	// maxProbes bounds the probes at a time.
	maxProbes = 16
)

// link is the state of the calls to another VM.
type link struct {
	// isKnown reports whether the VM has a whole report. full and near are the revisions up to which it has all counts, and those of
	// organisations near their limits.
	isKnown    bool
	full, near uint64
	// lastSuccess is the time of the last answer. A VM that is suspect isn't called before retryAt.
	lastSuccess time.Time
	isSuspect   bool
	retryAt     time.Time
}

func (l *link) succeed(now time.Time) {
	l.lastSuccess, l.isSuspect = now, false
}

// fail records that the VM didn't answer. It becomes suspect unless isHeld is set and it may answer again.
func (l *link) fail(err error, isHeld bool, now time.Time) {
	switch {
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		l.isSuspect, l.retryAt = true, now.Add(oldInterval)
	case l.isSuspect || !isHeld:
		l.isSuspect, l.retryAt = true, now.Add(retryInterval)
	}
}

// uplink chooses the receiver of this VM's reports.
type uplink struct {
	isBusy bool
	// links holds the receivers by their names and incarnations.
	links map[string]*link
	// coordinator is the name of the receiver that last answered.
	coordinator string
	// relays is the list from which order and near follow: the order of the relays, and that in which a VM reports to them.
	relays, order, near []fleet.VM
	// failingSince is the time of the first call that failed since the last answer, or zero.
	failingSince time.Time
}

// sort returns the relays that have an address for other VMs in their order.
func (u *uplink) sort(self fleet.VM, relays []fleet.VM) []fleet.VM {
	if len(relays) != len(u.relays) || len(relays) > 0 && &relays[0] != &u.relays[0] {
		reachable := slices.DeleteFunc(slices.Clone(relays), func(vm fleet.VM) bool { return vm.PeerAddress == "" && vm.Name != self.Name })
		u.relays, u.order = relays, topology.Order(reachable)
		u.near = topology.Near(self, u.order)
	}
	return u.order
}

// maxLinks bounds the receivers that are remembered.
const maxLinks = 1000

// link returns the state of the calls to the VM.
func (u *uplink) link(vm fleet.VM) *link {
	key := vm.Name + "/" + vm.Incarnation
	l := u.links[key]
	if l == nil {
		if len(u.links) >= maxLinks {
			clear(u.links)
		}
		l = &link{}
		u.links[key] = l
	}
	return l
}

// reset forgets what receivers know.
func (u *uplink) reset() {
	for _, l := range u.links {
		l.isKnown = false
	}
}

// choose returns the first VM in the order that isn't suspect. Suspect VMs before it are called as probes, so that their silence
// doesn't delay the report.
func (u *uplink) choose(order []fleet.VM, now time.Time) (to *fleet.VM, probes []fleet.VM) {
	for _, vm := range order {
		l := u.link(vm)
		if !l.isSuspect {
			to = &vm
			break
		}
		if !now.Before(l.retryAt) && len(probes) < maxProbes {
			probes = append(probes, vm)
		}
	}
	if to == nil && len(probes) > 0 {
		to, probes = &probes[0], probes[1:]
	}
	for _, vm := range probes {
		// Further probes wait for the result of this one.
		u.link(vm).retryAt = now.Add(retryInterval)
	}
	return to, probes
}

// suspectUnproven makes all VMs but self suspect that have not answered since calls fail. They are probed at once.
func (u *uplink) suspectUnproven(order []fleet.VM, self string, now time.Time) {
	for _, vm := range order {
		if l := u.link(vm); vm.Name != self && !l.isSuspect && !l.lastSuccess.After(u.failingSince) {
			l.isSuspect, l.retryAt = true, now
		}
	}
}

// setCoordinator records the receiver that answered and reports whether it is another one.
func (u *uplink) setCoordinator(name string) (changed bool) {
	changed = u.coordinator != name
	u.coordinator = name
	return changed
}
