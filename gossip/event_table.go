package gossip

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

const (
	// buckets is the number of parts of the state with a digest of their own in a comparison. The digests take 512 bytes.
	buckets = 64
	// maxUpstreams and maxSuspects bound the table; a fleet is designed for 3,000 upstreams.
	maxUpstreams = 8192
	maxSuspects  = 4096
	// suspectLifetime is the time for which a death counts against a fingerprint.
	suspectLifetime = time.Minute
)

type deathKey struct {
	fingerprint, death uint64
}

type upstreamKey struct {
	service, upstream string
}

type upstreamState struct {
	event     *peerpb.UpstreamEvent
	appliedAt time.Time
}

// eventTable holds the state that follows from all events except member events.
type eventTable struct {
	upstreams  map[upstreamKey]upstreamState
	deaths     map[deathKey]time.Time // time of death
	generation uint64
	holder     string // name of a VM that has the generation in force
}

func newEventTable() *eventTable {
	return &eventTable{upstreams: make(map[upstreamKey]upstreamState), deaths: make(map[deathKey]time.Time)}
}

// applyUpstream applies the event if it is later than the known one, and reports whether it did.
func (t *eventTable) applyUpstream(e *peerpb.UpstreamEvent, now time.Time) bool {
	k := upstreamKey{e.GetService(), e.GetUpstream()}
	known, ok := t.upstreams[k]
	if ok && !laterUpstream(e, known.event) {
		return false
	}
	if !ok && len(t.upstreams) >= maxUpstreams {
		t.evictUpstream()
	}
	t.upstreams[k] = upstreamState{e, now}
	return true
}

// laterUpstream reports whether a is later than b by version. Two observers may use the same version at once; the state
// that gives the upstream less work then wins, so that a tie never undoes a drain.
func laterUpstream(a, b *peerpb.UpstreamEvent) bool {
	if a.GetVersion() != b.GetVersion() {
		return a.GetVersion() > b.GetVersion()
	}
	if pa, pb := statePriority(a.GetState()), statePriority(b.GetState()); pa != pb {
		return pa > pb
	}
	return a.GetObserver() > b.GetObserver()
}

// statePriority returns the priority of a state among events of the same version.
func statePriority(s peerpb.UpstreamEvent_State) int {
	switch s {
	case peerpb.UpstreamEvent_STATE_READY:
		return 1
	case peerpb.UpstreamEvent_STATE_COLD:
		return 2
	case peerpb.UpstreamEvent_STATE_EJECTED:
		return 3
	case peerpb.UpstreamEvent_STATE_DRAINING:
		return 4
	}
	return 0
}

// evictUpstream removes the upstream whose last event was applied first.
func (t *eventTable) evictUpstream() {
	var oldest upstreamKey
	var at time.Time
	for k, s := range t.upstreams {
		if at.IsZero() || s.appliedAt.Before(at) {
			oldest, at = k, s.appliedAt
		}
	}
	delete(t.upstreams, oldest)
}

// applySuspect records a pair of fingerprint and death, and reports whether it was new, unexpired and fitted into the
// table.
func (t *eventTable) applySuspect(e *peerpb.SuspectEvent, now time.Time) bool {
	age := time.Duration(e.GetAgeMs()) * time.Millisecond
	k := deathKey{e.GetFingerprint(), e.GetDeath()}
	if _, ok := t.deaths[k]; ok || age >= suspectLifetime || len(t.deaths) >= maxSuspects {
		return false
	}
	t.deaths[k] = now.Add(-age)
	return true
}

// applyGeneration applies the event if its generation is higher than the known one, and reports whether it did.
func (t *eventTable) applyGeneration(e *peerpb.GenerationEvent) bool {
	if e.GetGeneration() <= t.generation {
		return false
	}
	t.generation, t.holder = e.GetGeneration(), e.GetHolder()
	return true
}

// expire removes old deaths. A death is kept for longer than it is sent, so that a late message cannot bring it back on
// VMs that have removed it.
func (t *eventTable) expire(now time.Time) {
	for k, at := range t.deaths {
		if now.Sub(at) >= 2*suspectLifetime {
			delete(t.deaths, k)
		}
	}
}

// events returns the state as events.
func (t *eventTable) events(now time.Time) []*peerpb.Event {
	var all []*peerpb.Event
	for _, s := range t.upstreams {
		all = append(all, upstreamEvent(s.event))
	}
	for k, at := range t.deaths {
		if age := now.Sub(at); age < suspectLifetime {
			all = append(all, suspectEvent(k, age))
		}
	}
	if t.generation > 0 {
		all = append(all, generationEvent(t.generation, t.holder))
	}
	return all
}

// refresh sets the ages of suspect events to those at the time of sending.
func (t *eventTable) refresh(events []*peerpb.Event, now time.Time) []*peerpb.Event {
	for i, e := range events {
		if s := e.GetSuspect(); s != nil {
			k := deathKey{s.GetFingerprint(), s.GetDeath()}
			if at, ok := t.deaths[k]; ok {
				events[i] = suspectEvent(k, now.Sub(at))
			}
		}
	}
	return events
}

func upstreamEvent(e *peerpb.UpstreamEvent) *peerpb.Event {
	return &peerpb.Event{Kind: &peerpb.Event_Upstream{Upstream: e}}
}

func suspectEvent(k deathKey, age time.Duration) *peerpb.Event {
	return &peerpb.Event{Kind: &peerpb.Event_Suspect{Suspect: &peerpb.SuspectEvent{
		Fingerprint: k.fingerprint, Death: k.death, AgeMs: uint32(max(0, age.Milliseconds())),
	}}}
}

func generationEvent(n uint64, holder string) *peerpb.Event {
	return &peerpb.Event{Kind: &peerpb.Event_Generation{Generation: &peerpb.GenerationEvent{Generation: n, Holder: holder}}}
}

func memberEvent(m member.Member) *peerpb.Event {
	e := &peerpb.MemberEvent{
		Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, PeerAddress: m.PeerAddress,
		FailureDomain: m.FailureDomain, Counter: m.Counter,
	}
	switch m.State {
	case member.Alive:
		e.State = peerpb.MemberEvent_STATE_ALIVE
	case member.Leaving:
		e.State = peerpb.MemberEvent_STATE_LEAVING
	case member.Suspect:
		e.State = peerpb.MemberEvent_STATE_SUSPECT
	case member.Dead:
		e.State = peerpb.MemberEvent_STATE_DEAD
	case member.Candidate:
	}
	return &peerpb.Event{Kind: &peerpb.Event_Member{Member: e}}
}

func memberOf(e *peerpb.MemberEvent) member.Member {
	m := member.Member{
		Name: e.GetName(), Incarnation: e.GetIncarnation(), Address: e.GetAddress(), PeerAddress: e.GetPeerAddress(),
		FailureDomain: e.GetFailureDomain(), Counter: e.GetCounter(),
	}
	switch e.GetState() {
	case peerpb.MemberEvent_STATE_ALIVE:
		m.State = member.Alive
	case peerpb.MemberEvent_STATE_LEAVING:
		m.State = member.Leaving
	case peerpb.MemberEvent_STATE_SUSPECT:
		m.State = member.Suspect
	case peerpb.MemberEvent_STATE_DEAD:
		m.State = member.Dead
	}
	return m
}

// keyOf returns the key of the event's subject. A later event replaces an earlier one with the same key.
func keyOf(e *peerpb.Event) string {
	switch k := e.GetKind().(type) {
	case *peerpb.Event_Member:
		return "m" + k.Member.GetName()
	case *peerpb.Event_Upstream:
		return "u" + k.Upstream.GetService() + "\x00" + k.Upstream.GetUpstream()
	case *peerpb.Event_Suspect:
		b := binary.BigEndian.AppendUint64([]byte("s"), k.Suspect.GetFingerprint())
		return string(binary.BigEndian.AppendUint64(b, k.Suspect.GetDeath()))
	}
	return "g"
}

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % buckets)
}

// versionOf returns a hash of the event's key and of the fields that order events of one key. The age of a suspect and
// the holder of a generation are left out, because they differ between VMs.
func versionOf(e *peerpb.Event) uint64 {
	b := append([]byte(keyOf(e)), 0)
	switch k := e.GetKind().(type) {
	case *peerpb.Event_Member:
		b = append(b, k.Member.GetIncarnation()...)
		b = binary.BigEndian.AppendUint64(b, k.Member.GetCounter())
		b = append(b, byte(k.Member.GetState()))
	case *peerpb.Event_Upstream:
		b = append(b, k.Upstream.GetObserver()...)
		b = binary.BigEndian.AppendUint64(b, k.Upstream.GetVersion())
		b = append(b, byte(k.Upstream.GetState()))
	case *peerpb.Event_Generation:
		b = binary.BigEndian.AppendUint64(b, k.Generation.GetGeneration())
	}
	return xxhash.Sum64(b)
}

// digest returns one digest for each bucket. It does not depend on the order of the events.
func digest(events []*peerpb.Event) []uint64 {
	d := make([]uint64, buckets)
	for _, e := range events {
		d[bucketOf(keyOf(e))] ^= versionOf(e)
	}
	return d
}

// inBuckets returns the events of the given buckets, sorted by key.
func inBuckets(events []*peerpb.Event, numbers []uint32) []*peerpb.Event {
	var found []*peerpb.Event
	for _, e := range events {
		if slices.Contains(numbers, uint32(bucketOf(keyOf(e)))) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *peerpb.Event) int { return strings.Compare(keyOf(a), keyOf(b)) })
	return found
}
