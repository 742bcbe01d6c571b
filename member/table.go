package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// maxEntries bounds the table in case peers report invented names; a fleet is designed for some hundreds of VMs.
const maxEntries = 4096

// maxUnanswered is the number of unanswered pings after which a candidate no longer counts as possibly alive: more than one,
// since pings may be lost and a VM that is short of processor time may answer too late.
const maxUnanswered = 3

type entry struct {
	Member
	since         time.Time // when the state was entered
	listed        bool
	listedLeaving bool // marked as leaving by the VM list
	unanswered    int  // pings to this candidate without an answer
}

// Table is one VM's view of the membership. It is not safe for concurrent use.
type Table struct {
	self     Member
	times    Times
	start    time.Time
	entries  map[string]*entry // without self
	round    []string          // names still to be pinged in this round
	rnd      *rand.Rand
	replaced bool
}

// New returns a table that contains only self, with the counter set from now.
func New(self Member, times Times, rnd *rand.Rand, now time.Time) *Table {
	self.State, self.IsLeaving = Alive, false
	self.Counter = uint64(now.UnixMilli())
	return &Table{self: self, times: times, start: now, entries: make(map[string]*entry), rnd: rnd}
}

// Self returns the member that owns the table.
func (t *Table) Self() Member {
	return t.self
}

// Replaced reports whether another incarnation has taken over the name of self.
func (t *Table) Replaced() bool {
	return t.replaced
}

// Leave permanently marks self as leaving and returns the state to announce.
func (t *Table) Leave() Member {
	if !t.self.IsLeaving {
		t.self.Counter++
		t.self.State, t.self.IsLeaving = Leaving, true
	}
	return t.self
}

// Apply applies an update about a member. It returns the states to send to peers: the update if it was new, or a
// refutation if it was about self.
func (t *Table) Apply(m Member, now time.Time) []Member {
	if m.State == Candidate || m.Name == "" {
		return nil
	}
	if m.Name == t.self.Name {
		return t.applySelf(m, now)
	}
	e, ok := t.entries[m.Name]
	if !ok {
		// The death of a member that is not in the table is not added: its expiry would start again, and VMs would
		// learn it from each other forever.
		if len(t.entries) >= maxEntries || m.State == Dead {
			return nil
		}
		t.dropCandidates(m.PeerAddress)
		e = &entry{}
		t.entries[m.Name] = e
	} else if !supersedes(m, e.Member) {
		return nil
	}
	left := m.State == Leaving || (e.Incarnation == m.Incarnation && e.IsLeaving)
	if left && m.State == Alive {
		m.State = Leaving
	}
	m.IsLeaving = left
	e.Member, e.since = m, now
	return []Member{m}
}

// dropCandidates removes candidates with the peer address, once a member is known under its own name.
func (t *Table) dropCandidates(peerAddress string) {
	for name, e := range t.entries {
		if e.State == Candidate && e.PeerAddress == peerAddress {
			delete(t.entries, name)
		}
	}
}

// applySelf refutes updates about this incarnation and decides which incarnation holds the name.
func (t *Table) applySelf(m Member, now time.Time) []Member {
	if t.replaced {
		return nil
	}
	if m.Incarnation == t.self.Incarnation {
		if m.State <= t.self.State || m.Counter < t.self.Counter {
			return nil
		}
		t.self.Counter = m.Counter + 1
		return []Member{t.self}
	}
	if !supersedes(m, t.self) {
		return []Member{t.self}
	}
	if now.Sub(t.start) > t.times.Joining {
		t.replaced = true
		return nil
	}
	t.self.Counter = m.Counter + 1
	return []Member{t.self}
}

// supersedes reports whether a supersedes b, where both have the same name.
func supersedes(a, b Member) bool {
	if b.State == Candidate {
		return true
	}
	if a.Counter != b.Counter {
		return a.Counter > b.Counter
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// ApplyList applies the VM list or the peers of the settings. Unknown names become candidates, and a member is marked as
// leaving for as long as the list marks it. Since a list may be out of date, it neither revives nor removes a member,
// and its marks are not sent to peers, so that a mark for an old incarnation ends with the next list.
func (t *Table) ApplyList(listed []Listed) {
	for _, e := range t.entries {
		e.listed, e.listedLeaving = false, false
	}
	for _, l := range listed {
		if l.Name == "" || l.Name == t.self.Name || l.PeerAddress == t.self.PeerAddress || t.addressTaken(l) {
			continue
		}
		e, ok := t.entries[l.Name]
		if !ok {
			if len(t.entries) >= maxEntries {
				continue
			}
			e = &entry{}
			t.entries[l.Name] = e
		}
		if e.State == Candidate {
			if e.PeerAddress != l.PeerAddress {
				e.unanswered = 0
			}
			e.Member = Member{Name: l.Name, Address: l.Address, PeerAddress: l.PeerAddress, FailureDomain: l.FailureDomain}
		}
		e.listed = true
		e.listedLeaving = l.Leaving && l.PeerAddress == e.PeerAddress
	}
	for name, e := range t.entries {
		if e.State == Candidate && !e.listed {
			delete(t.entries, name)
		}
	}
}

// addressTaken reports whether a member of another name that may be alive has the peer address. The list or the settings
// are then out of date or name a VM by its address only. A dead member is ignored, since a new VM may have its address.
func (t *Table) addressTaken(l Listed) bool {
	for name, e := range t.entries {
		if name != l.Name && e.mayBeAlive() && e.PeerAddress == l.PeerAddress {
			return true
		}
	}
	return false
}

// Suspect records that the member with this name and incarnation did not answer. It returns the suspicion to announce, and
// whether there is one.
func (t *Table) Suspect(name, incarnation string, now time.Time) (Member, bool) {
	e, ok := t.entries[name]
	if !ok || e.Incarnation != incarnation || (e.State != Alive && e.State != Leaving) {
		return Member{}, false
	}
	e.State, e.since = Suspect, now
	return e.Member, true
}

// Tick marks suspects as dead whose time has expired and removes expired dead entries. It returns the deaths to
// announce.
func (t *Table) Tick(now time.Time) []Member {
	var deaths []Member
	for name, e := range t.entries {
		switch {
		case e.State == Suspect && now.Sub(e.since) >= t.times.Suspicion:
			e.State, e.since = Dead, now
			deaths = append(deaths, e.Member)
		case e.State == Dead && now.Sub(e.since) >= t.times.Expiry:
			delete(t.entries, name)
		}
	}
	slices.SortFunc(deaths, byName)
	return deaths
}

// Resume restarts the time of all suspicions after a pause of the process, in which it received no refutations.
func (t *Table) Resume(now time.Time) {
	for _, e := range t.entries {
		if e.State == Suspect {
			e.since = now
		}
	}
}

// Next returns the next member to ping. Each round visits every live member once in a new random order, so that the
// time between two pings of a member is bounded.
func (t *Table) Next() (Member, bool) {
	for range 2 {
		for len(t.round) > 0 {
			name := t.round[0]
			t.round = t.round[1:]
			if e, ok := t.entries[name]; ok && e.mayBeAlive() {
				return e.Member, true
			}
		}
		t.round = t.round[:0]
		for name, e := range t.entries {
			if e.mayBeAlive() {
				t.round = append(t.round, name)
			}
		}
		slices.Sort(t.round)
		t.rnd.Shuffle(len(t.round), func(i, j int) { t.round[i], t.round[j] = t.round[j], t.round[i] })
	}
	return Member{}, false
}

// Sample returns up to n distinct random members that may be alive, without self and the excluded name.
func (t *Table) Sample(n int, exclude string) []Member {
	return t.sample(n, func(e *entry) bool { return e.mayBeAlive() && e.Name != exclude })
}

// Suspects returns up to n random suspects.
func (t *Table) Suspects(n int) []Member {
	return t.sample(n, func(e *entry) bool { return e.State == Suspect })
}

// Candidates returns up to n random candidates, those that may be alive first.
func (t *Table) Candidates(n int) []Member {
	all := t.sample(n, func(e *entry) bool { return e.State == Candidate && e.unanswered < maxUnanswered })
	return append(all, t.sample(n-len(all), func(e *entry) bool { return e.State == Candidate && e.unanswered >= maxUnanswered })...)
}

// RecordPing records whether the candidate with this name and peer address answered a ping. If it did and is still a
// candidate, its VM is a member under another name or address.
func (t *Table) RecordPing(name, peerAddress string, answered bool) {
	e, ok := t.entries[name]
	switch {
	case !ok || e.State != Candidate || e.PeerAddress != peerAddress:
	case answered:
		e.unanswered = maxUnanswered
	default:
		e.unanswered++
	}
}

// MaxLive returns the number of VMs that may be alive: the live members, including self, and the peer addresses of
// candidates of which that is unknown because they have not been pinged often enough.
func (t *Table) MaxLive() int {
	n := 1
	pending := make(map[string]bool)
	for _, e := range t.entries {
		switch {
		case e.mayBeAlive():
			n++
		case e.State == Candidate && e.unanswered < maxUnanswered:
			pending[e.PeerAddress] = true
		}
	}
	return n + len(pending)
}

// DeadSample returns up to n random dead members. Pinging them from time to time detects the end of a partition.
func (t *Table) DeadSample(n int) []Member {
	return t.sample(n, func(e *entry) bool { return e.State == Dead })
}

// sample returns up to n distinct random entries that accept selects.
func (t *Table) sample(n int, accept func(*entry) bool) []Member {
	var all []Member
	for _, e := range t.entries {
		if accept(e) {
			all = append(all, e.Member)
		}
	}
	slices.SortFunc(all, byName)
	t.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// NumOthers returns the number of other VMs in the table, including candidates and dead ones.
func (t *Table) NumOthers() int {
	return len(t.entries)
}

// Live returns the members that may be alive, including self and leaving ones, sorted by name.
func (t *Table) Live() []Member {
	live := []Member{t.self}
	for _, e := range t.entries {
		if e.mayBeAlive() {
			m := e.Member
			m.IsLeaving = m.IsLeaving || e.listedLeaving
			live = append(live, m)
		}
	}
	slices.SortFunc(live, byName)
	return live
}

// All returns all members except candidates, including self and dead ones, sorted by name.
func (t *Table) All() []Member {
	all := []Member{t.self}
	for _, e := range t.entries {
		if e.State != Candidate {
			all = append(all, e.Member)
		}
	}
	slices.SortFunc(all, byName)
	return all
}

// Get returns the member or candidate with the name, and whether there is one.
func (t *Table) Get(name string) (Member, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	e, ok := t.entries[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// HasPeerAddress reports whether another member or candidate has the peer address.
func (t *Table) HasPeerAddress(address string) bool {
	for _, e := range t.entries {
		if e.PeerAddress == address {
			return true
		}
	}
	return false
}

// mayBeAlive reports whether the member is alive, leaving or suspect.
func (e *entry) mayBeAlive() bool {
	return e.State == Alive || e.State == Leaving || e.State == Suspect
}

func byName(a, b Member) int {
	return strings.Compare(a.Name, b.Name)
}
