package presence

import (
	"encoding/binary"
	"hash"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

const (
	// maxSilence is the time after which a VM expires that doesn't repeat its report to this one. Followers call at least
	// once a second and turn to another VM within 1.4 s.
	maxSilence = 3500 * time.Millisecond
	// usualSilence is the silence above which lists state it. VMs that report to a follower of the leading VM are hardly ever silent
	// for longer, and a VM that ended as long before the leading one adds it to the time for which it is named.
	usualSilence = 1800 * time.Millisecond
	// maxPassedSilence replaces maxSilence for a VM that another one reports, which calls at least once a second too.
	maxPassedSilence = maxSilence + time.Second
	// usualGap is the longest usual time between the last list of a leading VM that has ended and the next one's: a call that
	// hangs for 1.4 s, and dials of one more VM that has no power. A longer one doesn't count as silence of the VMs, because
	// they could report themselves to none.
	usualGap = 1700 * time.Millisecond
	// followTime is the time in which the VMs turn to a VM that has begun to lead. The first of them to notice that the one before
	// has ended does so a wait of 1 s before the last.
	followTime = 1500 * time.Millisecond
	// maxInheritedSilence replaces maxSilence for a VM that is known from the list of another leading VM only.
	maxInheritedSilence = usualGap + followTime
	// gatherDelay is the time for which a leading VM gathers reports before it changes the list.
	gatherDelay = 200 * time.Millisecond
	// confirmInterval is the age of the list from which on a leading VM confirms it when a follower calls.
	confirmInterval = 100 * time.Millisecond
	// maxRemoved is the number of removals that are kept; a follower that needs older ones gets the whole list.
	maxRemoved = 1000
	// maxPause is the time between two calls of Expire above which this process counts as having been paused, in which
	// case it could not receive reports.
	maxPause = 1500 * time.Millisecond
	// settleTime is the time after a pause in which the VMs report themselves again: they avoid a VM that failed for 2 s.
	settleTime = 2500 * time.Millisecond
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
	// HasAge reports whether Age and Silences are known. VMs of an earlier release don't state them.
	HasAge bool
	// Age is the time since the leading VM made the list or confirmed it.
	Age time.Duration
	// Silences are the times for which VMs had not reported themselves by then, by name, if they were unusually long.
	Silences map[string]time.Duration
}

// Report is what a VM reports to the VM that it follows.
type Report struct {
	// Reporter is the name of the VM.
	Reporter string
	// Digest identifies the content of VMs.
	Digest uint64
	// VMs are the VM itself and those that follow it. They may be omitted if the receiver has them.
	VMs []fleet.VM
	// Silences are the times since the VMs reported themselves, in the order of VMs. VMs of an earlier release don't state them;
	// all of their VMs count as heard of now.
	Silences []time.Duration
}

// Position identifies a list and states when it was confirmed.
type Position struct {
	Origin  string
	Version uint64
	// Confirmed is the time at which the leading VM made the list or confirmed it, or zero if that isn't known.
	Confirmed time.Time
}

type report struct {
	digest uint64
	vms    []fleet.VM
	// heard holds the times at which the VMs reported themselves.
	heard    []time.Time
	lastSeen time.Time
}

// setHeard sets the times at which the VMs reported themselves.
func (r *report) setHeard(silences []time.Duration, now time.Time) {
	if len(r.heard) != len(r.vms) {
		r.heard = make([]time.Time, len(r.vms))
	}
	for i := range r.heard {
		r.heard[i] = now
		if len(silences) == len(r.vms) {
			r.heard[i] = now.Add(-silences[i])
		}
	}
}

// sighting is a VM and the time at which it reported itself, or did so at the latest if it is known from the list of another VM only.
type sighting struct {
	vm    fleet.VM
	heard time.Time
	// expiry is the time at which the VM expires, if a report tells of it.
	expiry      time.Time
	isInherited bool
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
	log    *logrus.Entry

	mu      sync.Mutex
	self    fleet.VM
	leaving bool
	reports map[string]report
	// leads reports whether this VM's reports make the list. The list is then updated at most once in gatherDelay.
	leads   bool
	pending bool
	// expiry fires when the next VM of the list expires.
	expiry *time.Timer

	origin    string
	version   uint64
	list      map[string]listed
	removed   []removal
	compacted uint64
	changed   chan struct{}
	// confirmed is the time at which the leading VM made the list or confirmed it, and silences are the unusually long silences
	// by then.
	confirmed time.Time
	silences  map[string]time.Duration
	// kept holds the VMs of lists of other origins until they expire, because the VM that made the present list may not have heard
	// of them yet.
	kept map[string]sighting
	// published holds the VMs that onList was called with last, by name.
	published map[string]fleet.VM
	// lastExpiry is the time of the last call of Expire. No VM expires before settled, so that they can report again after this
	// process was paused.
	lastExpiry, settled time.Time
}

// New returns a table for the VM self with an empty list. The function onList is called with the whole list after each
// change; it must not call the table.
func New(self fleet.VM, onList func([]fleet.VM), log *logrus.Entry) *Table {
	return &Table{
		onList: onList, log: log, self: self, reports: make(map[string]report), list: make(map[string]listed), kept: make(map[string]sighting),
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
func (t *Table) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Reporter: t.self.Name}
	// What this VM has inherited is no report of the VMs themselves, and would seem to be one at the receiver.
	for _, seen := range t.union(now, false) {
		r.VMs = append(r.VMs, seen.vm)
		r.Silences = append(r.Silences, now.Sub(seen.heard))
	}
	r.Digest = digest(r.VMs)
	return r
}

// Record records a report, and returns false if the report omits VMs that this table does not have.
func (t *Table) Record(r Report, now time.Time) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, exists := t.reports[r.Reporter]
	if exists && old.digest == r.Digest {
		old.lastSeen = now
		old.setHeard(r.Silences, now)
		t.reports[r.Reporter] = old
		return true
	}
	if len(r.VMs) == 0 && r.Digest != digest(nil) {
		return false
	}
	added := report{digest: r.Digest, vms: r.VMs, lastSeen: now}
	added.setHeard(r.Silences, now)
	t.reports[r.Reporter] = added
	t.schedule()
	return true
}

// Expire drops the VMs that have not reported themselves for too long, and confirms the list if this VM leads.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastExpiry) > maxPause {
		t.settled = now.Add(settleTime)
	}
	t.lastExpiry = now
	for name, r := range t.reports {
		if now.Sub(r.lastSeen) > maxPassedSilence && !now.Before(t.settled) {
			delete(t.reports, name)
		}
	}
	if t.leads {
		t.update(now)
	}
}

// Lead sets whether this VM's reports make the list. A VM that begins to lead keeps the earlier lists until the VMs had time
// to report themselves; origin has to be new each time.
func (t *Table) Lead(leads bool, origin string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leads == leads {
		return
	}
	t.leads = leads
	if t.expiry != nil {
		t.expiry.Stop()
	}
	delete(t.reports, inherited)
	log := t.log.WithFields(logrus.Fields{"listed": len(t.list), "confirmed-ms-ago": now.Sub(t.confirmed).Milliseconds()})
	if !leads {
		log.Info("this VM no longer leads the list of VMs")
		return
	}
	log.Info("this VM leads the list of VMs")
	gap := max(now.Sub(t.confirmed)-usualGap, 0)
	r := report{lastSeen: now}
	for _, seen := range t.known() {
		r.vms = append(r.vms, seen.vm)
		r.heard = append(r.heard, seen.heard.Add(gap))
	}
	t.reports[inherited] = r
	clear(t.kept)
	t.origin, t.compacted = origin, t.version
	t.update(now)
	// VMs that were kept and have expired by now are on no list that could change.
	t.publish()
}

// known returns the VMs of the list and of earlier ones that have not expired, and when they were last heard of, as far as the
// lists state it.
func (t *Table) known() []sighting {
	var all []sighting
	for name, l := range t.list {
		seen := sighting{vm: l.vm, heard: t.confirmed.Add(-t.silences[name])}
		if earlier, isKept := t.kept[name]; isKept {
			seen = later(seen, earlier)
		}
		if t.confirmed.Sub(seen.heard) <= maxPassedSilence {
			all = append(all, seen)
		}
	}
	for name, seen := range t.kept {
		if _, isListed := t.list[name]; !isListed {
			all = append(all, seen)
		}
	}
	return all
}

// Changes returns the changes after the position of the same list, or the whole list if they may be incomplete or the position is
// that of another list. It returns no list to a VM that has a later one.
func (t *Table) Changes(after Position, now time.Time) Listing {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leads && now.Sub(t.confirmed) >= confirmInterval {
		t.update(now)
	}
	if isSame := after.Origin == t.origin && after.Version == t.version; !isSame && !t.isAhead(after) {
		return Listing{}
	}
	l := Listing{
		Origin: t.origin, Version: t.version,
		Whole:  after.Origin != t.origin || after.Version < t.compacted || after.Version > t.version,
		HasAge: !t.confirmed.IsZero(), Age: now.Sub(t.confirmed), Silences: t.silences,
	}
	for _, e := range t.list {
		if l.Whole || e.version > after.Version {
			l.VMs = append(l.VMs, e.vm)
		}
	}
	if !l.Whole {
		for _, r := range t.removed {
			if r.version > after.Version {
				l.Removed = append(l.Removed, r.name)
			}
		}
	}
	return l
}

// Position returns the position of the list.
func (t *Table) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Position{Origin: t.origin, Version: t.version, Confirmed: t.confirmed}
}

// IsAhead reports whether this table has a later list than a VM with a list at the position.
func (t *Table) IsAhead(of Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isAhead(of)
}

// isAhead is IsAhead for a caller that holds mu. Lists of different origins are compared by the times at which they were
// confirmed.
func (t *Table) isAhead(of Position) bool {
	switch {
	case t.origin == "":
		return false
	case of.Confirmed.IsZero() || t.confirmed.IsZero():
		return of.Origin != t.origin || of.Version != t.version
	case of.Origin == t.origin:
		return t.version > of.Version
	default:
		return t.confirmed.After(of.Confirmed)
	}
}

// Apply applies a listing from the VM that is followed. It does nothing while this VM leads, or if the list is older than that of
// the table. VMs that a list of another origin lacks are kept until they expire.
func (t *Table) Apply(l Listing, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leads || l.Origin == "" || !l.Whole && l.Origin != t.origin {
		return
	}
	confirmed := now.Add(-l.Age)
	isSame := l.Origin == t.origin && l.Version == t.version
	if l.HasAge && (l.Origin == t.origin && l.Version < t.version || l.Origin != t.origin && confirmed.Before(t.confirmed)) {
		return
	}
	if l.HasAge && l.Origin != t.origin {
		for _, seen := range t.known() {
			t.kept[seen.vm.Name] = seen
		}
	}
	mayChange := !isSame || len(t.kept) > 0 || len(t.silences) > 0 || len(l.Silences) > 0
	if !isSame || confirmed.After(t.confirmed) {
		t.confirmed, t.silences = confirmed, l.Silences
	}
	maps.DeleteFunc(t.kept, func(_ string, seen sighting) bool { return t.confirmed.Sub(seen.heard) > maxInheritedSilence })
	if isSame {
		if mayChange {
			t.publish()
		}
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
			t.update(time.Now())
		}
	})
}

// update sets the list to the union of the reports; the caller holds mu and leads.
func (t *Table) update(now time.Time) {
	version, changed := t.version+1, false
	present := make(map[string]bool)
	t.confirmed, t.silences = now, make(map[string]time.Duration)
	next := now.Add(maxPassedSilence)
	for _, seen := range t.union(now, true) {
		vm := seen.vm
		if seen.expiry.After(now) && seen.expiry.Before(next) {
			next = seen.expiry
		}
		present[vm.Name] = true
		// If the silences of inherited VMs were left out when they are short, VMs that have ended would never expire while the lead
		// moves again and again.
		if silence := now.Sub(seen.heard); silence > usualSilence || seen.isInherited {
			t.silences[vm.Name] = silence
		}
		if t.list[vm.Name].vm != vm {
			t.list[vm.Name] = listed{vm, version}
			changed = true
		}
	}
	for name := range t.list {
		if !present[name] {
			t.logRemoval(name, now)
			t.remove(name, version)
			changed = true
		}
	}
	if changed {
		t.version = version
		t.notify()
	}
	t.expireAt(next)
}

// expireAt updates the list at the time of the next expiry, if this VM leads then and no later update has set another time; the
// caller holds mu.
func (t *Table) expireAt(at time.Time) {
	if t.expiry != nil {
		t.expiry.Stop()
	}
	t.expiry = time.AfterFunc(time.Until(at), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.leads {
			t.update(time.Now())
		}
	})
}

// logRemoval logs that this VM, which leads, removes another one from the list, and who reported it last; the caller holds mu.
func (t *Table) logRemoval(name string, now time.Time) {
	log := t.log.WithField("peer", name)
	var heard time.Time
	for reporter, r := range t.reports {
		for i, vm := range r.vms {
			if vm.Name == name && r.heard[i].After(heard) {
				heard = r.heard[i]
				log = t.log.WithFields(logrus.Fields{"peer": name, "reporter": reporter, "silence-ms": now.Sub(heard).Milliseconds()})
			}
		}
	}
	log.Info("VM removed from the list of VMs")
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

// notify reports a change of the list to the followers and to onList; the caller holds mu.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
	t.publish()
}

// publish calls onList if the VMs have changed; the caller holds mu. The leading VM alone decides when its VMs expire.
func (t *Table) publish() {
	vms := make(map[string]fleet.VM, len(t.list))
	if t.leads {
		for name, l := range t.list {
			vms[name] = l.vm
		}
	} else {
		for _, seen := range t.known() {
			vms[seen.vm.Name] = seen.vm
		}
	}
	if maps.Equal(vms, t.published) {
		return
	}
	t.published = vms
	t.onList(slices.Collect(maps.Values(vms)))
}

// union returns this VM, unless it leaves, and all reported VMs that have not expired by name, with or without those of earlier
// lists; the caller holds mu. A VM that has moved from one VM to another is reported by both for a while; its latest state counts, or the latest report of two incarnations.
func (t *Table) union(now time.Time, withInherited bool) []sighting {
	latest := make(map[string]sighting)
	for reporter, r := range t.reports {
		if reporter == inherited && !withInherited {
			continue
		}
		for i, vm := range r.vms {
			seen := sighting{vm: vm, heard: r.heard[i], expiry: r.heard[i].Add(silenceBound(reporter, vm.Name)), isInherited: reporter == inherited}
			if !now.Before(seen.expiry) && !now.Before(t.settled) {
				continue
			}
			if other, exists := latest[vm.Name]; exists {
				seen = later(other, seen)
			}
			latest[vm.Name] = seen
		}
	}
	delete(latest, t.self.Name)
	if !t.leaving {
		latest[t.self.Name] = sighting{vm: t.self, heard: now}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b sighting) int { return strings.Compare(a.vm.Name, b.vm.Name) })
}

// silenceBound returns the time after which a VM expires that is known by the reporter.
func silenceBound(reporter, vm string) time.Duration {
	switch reporter {
	case vm:
		return maxSilence
	case inherited:
		return maxInheritedSilence
	default:
		return maxPassedSilence
	}
}

// later returns the later of two states of a VM, with the time of the later report if both are of one incarnation.
func later(a, b sighting) sighting {
	if b.heard.After(a.heard) {
		a, b = b, a
	}
	if a.vm.Incarnation == b.vm.Incarnation && b.vm.Sequence > a.vm.Sequence {
		a.vm = b.vm
	}
	return a
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
		writeString(d, map[bool]string{true: "organisations"}[vm.HasOrganisations])
		writeString(d, strconv.FormatUint(vm.Sequence, 10))
	}
	return d.Sum64()
}

// writeString hashes a string with its length, which separates it from the next one.
func writeString(h hash.Hash, s string) {
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(s))))
	_, _ = h.Write([]byte(s))
}
