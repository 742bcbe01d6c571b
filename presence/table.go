package presence

import (
	"encoding/binary"
	"hash"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

const (
	// reportLifetime is the time after which a report that is not repeated expires. Followers call at least once a second
	// and turn to another VM within 1.4 s.
	reportLifetime = 3500 * time.Millisecond
	// gatherDelay is the time for which a leading VM gathers reports before it changes the list.
	gatherDelay = 200 * time.Millisecond
	// maxRemoved is the number of removals that are kept; a follower that needs older ones gets the whole list.
	maxRemoved = 1000
	// maxPause is the time between two calls of Expire above which this process counts as having been paused, in which
	// case it could not receive reports.
	maxPause = 1500 * time.Millisecond
)

// inherited is the reporter under which a VM that begins to lead keeps the list of the VM that led before.
const inherited = ""

// Listing is the list of the fleet, or the changes to it after a version.
type Listing struct {
	// Origin identifies the VM that leads the list, and Version counts the changes made there.
	Origin  string
	Version uint64
	// Whole reports whether VMs is the whole list.
	Whole bool
	// VMs are the VMs that were added or changed, and Removed are the names of those that were removed.
	VMs     []fleet.VM
	Removed []string
}

// Report is what a VM reports to the VM that it follows.
type Report struct {
	// Reporter is the name of the VM.
	Reporter string
	// Digest identifies the content of VMs.
	Digest uint64
	// VMs are the VM itself and those that follow it. They may be omitted if the receiver has them.
	VMs []fleet.VM
}

type report struct {
	digest   uint64
	vms      []fleet.VM
	lastSeen time.Time
}

type listed struct {
	vm      fleet.VM
	version uint64
}

type removal struct {
	name    string
	version uint64
}

// Table holds the reports of the VMs that follow this one, and the list of the fleet. It is safe for concurrent use.
type Table struct {
	// onList is called with the whole list after each change, while the table is locked.
	onList func([]fleet.VM)

	mu      sync.Mutex
	self    fleet.VM
	leaving bool
	reports map[string]report
	// leads reports whether this VM's reports make the list. The list is then updated at most once in gatherDelay.
	leads   bool
	pending bool

	origin    string
	version   uint64
	list      map[string]listed
	removed   []removal
	compacted uint64
	changed   chan struct{}
	// lastExpiry is the time of the last call of Expire.
	lastExpiry time.Time
}

// New returns a table for the VM self with an empty list. The function onList is called with the whole list after each
// change; it must not call the table.
func New(self fleet.VM, onList func([]fleet.VM)) *Table {
	return &Table{
		onList: onList, self: self, reports: make(map[string]report), list: make(map[string]listed),
		changed: make(chan struct{}), lastExpiry: time.Now(),
	}
}

// SetState records whether this VM serves callers and whether it reaches no upstream.
func (t *Table) SetState(serving, cutOff bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Serving != serving || t.self.CutOff != cutOff {
		t.self.Serving, t.self.CutOff = serving, cutOff
		t.self.Sequence++
		t.schedule()
	}
}

// Leave takes this VM out of the list permanently.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.schedule()
}

// Report returns this VM's report.
func (t *Table) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	vms := t.union()
	return Report{Reporter: t.self.Name, Digest: digest(vms), VMs: vms}
}

// Record records a report, and returns false if the report omits VMs that this table does not have.
func (t *Table) Record(r Report, now time.Time) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, exists := t.reports[r.Reporter]
	if exists && old.digest == r.Digest {
		old.lastSeen = now
		t.reports[r.Reporter] = old
		return true
	}
	if len(r.VMs) == 0 && r.Digest != digest(nil) {
		return false
	}
	t.reports[r.Reporter] = report{digest: r.Digest, vms: r.VMs, lastSeen: now}
	t.schedule()
	return true
}

// Expire drops the reports that were not repeated.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := now.Sub(t.lastExpiry) > maxPause
	t.lastExpiry = now
	for name, r := range t.reports {
		switch {
		case paused:
			r.lastSeen = now
			t.reports[name] = r
		case now.Sub(r.lastSeen) > reportLifetime:
			delete(t.reports, name)
			t.schedule()
		}
	}
}

// Lead sets whether this VM's reports make the list. A VM that begins to lead keeps the earlier list until the VMs had time
// to report themselves; origin has to be new each time.
func (t *Table) Lead(leads bool, origin string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leads == leads {
		return
	}
	t.leads = leads
	delete(t.reports, inherited)
	if !leads {
		return
	}
	var vms []fleet.VM
	for _, l := range t.list {
		vms = append(vms, l.vm)
	}
	t.reports[inherited] = report{vms: vms, lastSeen: now}
	t.origin, t.compacted = origin, t.version
	t.update()
}

// Changes returns the changes after the version of the origin's list, or the whole list if they may be incomplete.
func (t *Table) Changes(origin string, after uint64) Listing {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Listing{Origin: t.origin, Version: t.version, Whole: origin != t.origin || after < t.compacted || after > t.version}
	for _, e := range t.list {
		if l.Whole || e.version > after {
			l.VMs = append(l.VMs, e.vm)
		}
	}
	if !l.Whole {
		for _, r := range t.removed {
			if r.version > after {
				l.Removed = append(l.Removed, r.name)
			}
		}
	}
	return l
}

// Position returns the origin and the version of the list.
func (t *Table) Position() (origin string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.origin, t.version
}

// Apply applies a listing from the VM that is followed. It does nothing while this VM leads.
func (t *Table) Apply(l Listing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leads || l.Origin == "" || !l.Whole && l.Origin != t.origin {
		return
	}
	if l.Origin == t.origin && l.Version == t.version {
		return
	}
	if l.Whole {
		t.origin, t.compacted, t.removed = l.Origin, l.Version, nil
		clear(t.list)
	}
	for _, vm := range l.VMs {
		t.list[vm.Name] = listed{vm, l.Version}
	}
	for _, name := range l.Removed {
		if _, exists := t.list[name]; exists {
			t.remove(name, l.Version)
		}
	}
	t.version = l.Version
	t.notify()
}

// Changed returns a channel that is closed at the next change of the list.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// schedule updates the list after gatherDelay if this VM leads; the caller holds mu.
func (t *Table) schedule() {
	if !t.leads || t.pending {
		return
	}
	t.pending = true
	time.AfterFunc(gatherDelay, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.pending = false
		if t.leads {
			t.update()
		}
	})
}

// update sets the list to the union of the reports; the caller holds mu and leads.
func (t *Table) update() {
	version, changed := t.version+1, false
	present := make(map[string]bool)
	for _, vm := range t.union() {
		present[vm.Name] = true
		if t.list[vm.Name].vm != vm {
			t.list[vm.Name] = listed{vm, version}
			changed = true
		}
	}
	for name := range t.list {
		if !present[name] {
			t.remove(name, version)
			changed = true
		}
	}
	if changed {
		t.version = version
		t.notify()
	}
}

// remove removes a VM from the list; the caller holds mu.
func (t *Table) remove(name string, version uint64) {
	delete(t.list, name)
	t.removed = append(t.removed, removal{name, version})
	if n := len(t.removed) - maxRemoved; n > 0 {
		t.compacted = t.removed[n-1].version
		t.removed = slices.Clone(t.removed[n:])
	}
}

// notify reports a change of the list; the caller holds mu.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
	vms := make([]fleet.VM, 0, len(t.list))
	for _, l := range t.list {
		vms = append(vms, l.vm)
	}
	t.onList(vms)
}

// union returns this VM, unless it leaves, and all reported VMs by name; the caller holds mu. A VM that has moved from one
// VM to another is reported by both for a while; its latest state counts, or the latest report of two incarnations.
func (t *Table) union() []fleet.VM {
	type candidate struct {
		vm   fleet.VM
		seen time.Time
	}
	latest := make(map[string]candidate)
	for _, r := range t.reports {
		for _, vm := range r.vms {
			c, exists := latest[vm.Name]
			isLater := r.lastSeen.After(c.seen)
			if vm.Incarnation == c.vm.Incarnation && vm.Sequence != c.vm.Sequence {
				isLater = vm.Sequence > c.vm.Sequence
			}
			if !exists || isLater {
				latest[vm.Name] = candidate{vm, r.lastSeen}
			}
		}
	}
	delete(latest, t.self.Name)
	vms := make([]fleet.VM, 0, len(latest)+1)
	for _, c := range latest {
		vms = append(vms, c.vm)
	}
	if !t.leaving {
		vms = append(vms, t.self)
	}
	slices.SortFunc(vms, func(a, b fleet.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

// digest returns a hash of the VMs.
func digest(vms []fleet.VM) uint64 {
	d := xxhash.New()
	for _, vm := range vms {
		for _, s := range []string{vm.Name, vm.Incarnation, vm.Address, vm.PeerAddress, vm.FailureDomain} {
			writeString(d, s)
		}
		writeString(d, map[bool]string{true: "serving"}[vm.Serving])
		writeString(d, map[bool]string{true: "cut-off"}[vm.CutOff])
		writeString(d, strconv.FormatUint(vm.Sequence, 10))
	}
	return d.Sum64()
}

// writeString hashes a string with its length, which separates it from the next one.
func writeString(h hash.Hash, s string) {
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(s))))
	_, _ = h.Write([]byte(s))
}
