package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// maxEntries bounds the table against peers that report invented names; the design's fleet has some hundreds of VMs.
const maxEntries = 4096

type entry struct {
	Member
	since  time.Time // of the state
	listed bool
	marked bool // by the VM list as leaving
}

// Table is the membership as one VM sees it. It is not safe for concurrent use.
type Table struct {
	self     Member
	times    Times
	start    time.Time
	entries  map[string]*entry // without self
	round    []string
	rnd      *rand.Rand
	replaced bool
}

// New returns a table that knows only self, whose counter is set from now.
func New(self Member, times Times, rnd *rand.Rand, now time.Time) *Table {
	self.State, self.Left = Alive, false
	self.Counter = uint64(now.UnixMilli())
	return &Table{self: self, times: times, start: now, entries: make(map[string]*entry), rnd: rnd}
}

// Self returns the table's own member.
func (t *Table) Self() Member {
	return t.self
}

// Replaced tells whether another incarnation has taken over the table's own name.
func (t *Table) Replaced() bool {
	return t.replaced
}

// Leave marks self as leaving for good and returns the state to announce.
func (t *Table) Leave() Member {
	if !t.self.Left {
		t.self.Counter++
		t.self.State, t.self.Left = Leaving, true
	}
	return t.self
}

// Apply takes over news of a member. It returns the states to tell the peers: the news if it was new, or the
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
		// A death that this VM has forgotten, or never knew of, must not start its time anew: VMs would learn it from
		// each other for ever.
		if len(t.entries) >= maxEntries || m.State == Dead {
			return nil
		}
		t.dropCandidates(m.PeerAddress)
		e = &entry{}
		t.entries[m.Name] = e
	} else if !newer(m, e.Member) {
		return nil
	}
	left := m.State == Leaving || (e.Incarnation == m.Incarnation && e.Left)
	if left && m.State == Alive {
		m.State = Leaving
	}
	m.Left = left
	e.Member, e.since = m, now
	return []Member{m}
}

// dropCandidates removes candidates with the peer address, which is now known under the member's own name.
func (t *Table) dropCandidates(peerAddress string) {
	for name, e := range t.entries {
		if e.State == Candidate && e.PeerAddress == peerAddress {
			delete(t.entries, name)
		}
	}
}

// applySelf refutes news of the own incarnation and settles which incarnation holds the name.
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
	if !newer(m, t.self) {
		return []Member{t.self}
	}
	if now.Sub(t.start) > t.times.Joining {
		t.replaced = true
		return nil
	}
	t.self.Counter = m.Counter + 1
	return []Member{t.self}
}

// newer tells whether a replaces b, both of one name.
func newer(a, b Member) bool {
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

// List takes over the VM list or the peers of the settings: unknown names become candidates, and leaving marks hold
// for as long as the list shows them. A list lags, so it neither revives nor removes a member, and its marks are not
// told to peers: a mark meant for an old incarnation then ends with the next list.
func (t *Table) List(listed []Listed) {
	for _, e := range t.entries {
		e.listed, e.marked = false, false
	}
	for _, l := range listed {
		if l.Name == "" || l.Name == t.self.Name || l.PeerAddress == t.self.PeerAddress || t.held(l) {
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
			e.Member = Member{Name: l.Name, Address: l.Address, PeerAddress: l.PeerAddress, FailureDomain: l.FailureDomain}
		}
		e.listed = true
		e.marked = l.Leaving && l.PeerAddress == e.PeerAddress
	}
	for name, e := range t.entries {
		if e.State == Candidate && !e.listed {
			delete(t.entries, name)
		}
	}
}

// held tells whether a live member of another name has the peer address, so that the list or the settings are late
// or name a VM by its address only. A dead member does not hold its address: a new VM may have got it.
func (t *Table) held(l Listed) bool {
	for name, e := range t.entries {
		if name != l.Name && e.present() && e.PeerAddress == l.PeerAddress {
			return true
		}
	}
	return false
}

// Fail records that the member with this name and incarnation did not answer; it returns the suspicion to tell.
func (t *Table) Fail(name, incarnation string, now time.Time) (Member, bool) {
	e, ok := t.entries[name]
	if !ok || e.Incarnation != incarnation || (e.State != Alive && e.State != Leaving) {
		return Member{}, false
	}
	e.State, e.since = Suspect, now
	return e.Member, true
}

// Tick declares suspects dead whose time is over and forgets old dead entries; it returns the deaths to tell.
func (t *Table) Tick(now time.Time) []Member {
	var news []Member
	for name, e := range t.entries {
		switch {
		case e.State == Suspect && now.Sub(e.since) >= t.times.Suspicion:
			e.State, e.since = Dead, now
			news = append(news, e.Member)
		case e.State == Dead && now.Sub(e.since) >= t.times.Expiry:
			delete(t.entries, name)
		}
	}
	slices.SortFunc(news, byName)
	return news
}

// Resume restarts the time of all suspicions. A process that was paused has heard no refutations in the meantime.
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
			if e, ok := t.entries[name]; ok && e.present() {
				return e.Member, true
			}
		}
		t.round = t.round[:0]
		for name, e := range t.entries {
			if e.present() {
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
	return t.sample(n, func(e *entry) bool { return e.present() && e.Name != exclude })
}

// Suspects returns up to n random suspects.
func (t *Table) Suspects(n int) []Member {
	return t.sample(n, func(e *entry) bool { return e.State == Suspect })
}

// Candidates returns up to n random VMs that were never heard of.
func (t *Table) Candidates(n int) []Member {
	return t.sample(n, func(e *entry) bool { return e.State == Candidate })
}

// DeadSample returns up to n random dead members. Pinging them now and then finds a healed partition.
func (t *Table) DeadSample(n int) []Member {
	return t.sample(n, func(e *entry) bool { return e.State == Dead })
}

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

// Others returns the number of other VMs that the table knows, candidates and dead ones included.
func (t *Table) Others() int {
	return len(t.entries)
}

// Live returns the members that may be alive, with self and with leaving ones, sorted by name.
func (t *Table) Live() []Member {
	live := []Member{t.self}
	for _, e := range t.entries {
		if e.present() {
			m := e.Member
			m.Left = m.Left || e.marked
			live = append(live, m)
		}
	}
	slices.SortFunc(live, byName)
	return live
}

// All returns every entry that was heard of, with self and the dead, sorted by name.
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

// Get returns the entry of the name.
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

// Addressed tells whether a member or candidate has the peer address.
func (t *Table) Addressed(address string) bool {
	for _, e := range t.entries {
		if e.PeerAddress == address {
			return true
		}
	}
	return false
}

func (e *entry) present() bool {
	return e.State == Alive || e.State == Leaving || e.State == Suspect
}

func byName(a, b Member) int {
	return strings.Compare(a.Name, b.Name)
}
