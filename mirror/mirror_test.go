package mirror_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
	"github.com/fulmarhitch/fulmarhitch/topology"
)

var errDown = errors.New("the source is down")

// source is a fake store, or a fake peer, whose only entry is a version of the rules.
type source struct {
	mu      sync.Mutex
	version uint64
	age     time.Duration
	down    bool
	// hangs leaves calls without an answer, and stale hides changes.
	hangs bool
	stale bool
	// drops counts the times at which the calls in progress were left without an answer.
	drops int
	calls int
	// outageEnd is the end of an outage that a peer reports.
	outageEnd time.Time
}

func (s *source) set(change func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// count returns the number of calls.
func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *source) Snapshot(ctx context.Context) (mirror.Batch, error) {
	b, err := s.Watch(ctx, mirror.Position{}, 0)
	b.Whole = true
	return b, err
}

func (s *source) Watch(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	began := 0
	s.set(func(s *source) { s.calls++; began = s.drops })
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		version, age, down, hangs, stale := s.version, s.age, s.down, s.hangs || s.drops != began, s.stale
		outageEnd := s.outageEnd
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return mirror.Batch{}, ctx.Err()
		case hangs:
		case down:
			return mirror.Batch{}, errDown
		case version > after.Revision && !stale:
			return mirror.Batch{Entries: []mirror.Entry{{Key: "rules", Revision: version}}, Revision: version, Age: age, OutageEnd: outageEnd}, nil
		case !time.Now().Before(end):
			return mirror.Batch{Revision: after.Revision, Age: age}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// relay discards all batches.
type relay struct{}

func (relay) Add(mirror.Batch, time.Time) {}
func (relay) Lost()                       {}

func decode(e mirror.Entry, _ time.Time) []mirror.Change {
	return []mirror.Change{mirror.RulesPut{Set: ruleset.New(e.Revision, nil, nil, ruleset.Limits{})}}
}

// newMirror returns a mirror of the store that follows the peers.
func newMirror(store *source, r mirror.Relay, peers ...mirror.Peer) *mirror.Mirror {
	tier := topology.Tier(min(len(peers), int(topology.Relay)))
	return newMirrorAt(tier, store, r, peers...)
}

// newMirrorAt is like newMirror at the distance from the store.
func newMirrorAt(tier topology.Tier, store *source, r mirror.Relay, peers ...mirror.Peer) *mirror.Mirror {
	return newMirrorOf(mirror.Sources{Tier: tier, Peers: peers}, store, r)
}

// newMirrorOf is like newMirror with the sources.
func newMirrorOf(sources mirror.Sources, store *source, r mirror.Relay) *mirror.Mirror {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return mirror.New(mirror.Config{
		Store: store, Decode: decode, Sources: func() mirror.Sources { return sources },
		Discover: func(context.Context, bool) error { return nil }, MayReadStore: func() bool { return sources.Tier != topology.Indirect },
		Relay: r, Roster: roster.New(),
		Fleet: fleet.New(fleet.VM{}), OnChange: func() {}, Log: logrus.NewEntry(log),
	})
}

// inForceWithin is the time within which a configuration has to be in force.
const inForceWithin = 2 * time.Second

// TestFollow guards against a configuration that comes into force late because of a failing source, and against a VM that
// goes back to an older one.
func TestFollow(t *testing.T) {
	all := func(sources []*source, change func(*source)) {
		for _, s := range sources {
			s.set(change)
		}
	}
	tests := map[string]struct {
		peers int
		fault func(store *source, peers []*source)
	}{
		"the store alone":      {0, func(*source, []*source) {}},
		"a peer":               {1, func(*source, []*source) {}},
		"a peer that is down":  {2, func(_ *source, p []*source) { p[0].set(func(s *source) { s.down = true }) }},
		"a peer that hangs":    {2, func(_ *source, p []*source) { p[0].set(func(s *source) { s.hangs = true }) }},
		"two peers that hang":  {2, func(_ *source, p []*source) { all(p, func(s *source) { s.hangs = true }) }},
		"peers with old data":  {2, func(_ *source, p []*source) { all(p, func(s *source) { s.stale, s.age = true, 1500*time.Millisecond }) }},
		"a store that is down": {1, func(store *source, _ []*source) { store.set(func(s *source) { s.down = true }) }},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			store := &source{version: 5}
			sources := []*source{store}
			var peers []mirror.Peer
			for i := range test.peers {
				p := &source{version: 5}
				sources = append(sources, p)
				peers = append(peers, mirror.Peer{Name: string(rune('a' + i)), Source: p})
			}
			m := newMirror(store, relay{}, peers...)
			_ = m.Start(t.Context())
			time.Sleep(5 * time.Second)
			test.fault(store, sources[1:])
			all(sources, func(s *source) { s.version = 9 })
			time.Sleep(inForceWithin)
			if set := m.Rules(); set == nil || set.Version != 9 {
				t.Errorf("%s: rules %+v", name, set)
			}
			all(sources, func(s *source) { s.version, s.down, s.hangs, s.stale, s.age = 7, false, false, false, 0 })
			time.Sleep(5 * time.Second)
			if set := m.Rules(); set.Version != 9 {
				t.Errorf("%s: went back to version %d", name, set.Version)
			}
			_ = m.Stop(t.Context())
		})
	}
}

// TestFallback guards against a relay that gets no changes while the store turns it away although others reach the store, and
// against one that calls the store all the time meanwhile or that does not return to it.
func TestFallback(t *testing.T) {
	for name, tier := range map[string]topology.Tier{"watcher": topology.Watcher, "standby": topology.Standby, "relay": topology.Relay} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, watcher := &source{version: 5}, &source{version: 5}
				fallback := []*source{{down: true}, {stale: true, age: 5 * time.Second}, {version: 5}}
				sources := mirror.Sources{Tier: tier}
				if tier != topology.Watcher {
					sources.Peers = []mirror.Peer{{Name: "watcher", Source: watcher}}
				}
				for i, s := range fallback {
					sources.Fallback = append(sources.Fallback, mirror.Peer{Name: string(rune('a' + i)), Source: s})
				}
				m := newMirrorOf(sources, store, relay{})
				_ = m.Start(t.Context())
				time.Sleep(5 * time.Second)
				if n := fallback[2].count(); n > 0 {
					t.Errorf("%d calls of another relay while the store answers", n)
				}
				for _, s := range []*source{store, watcher} {
					s.set(func(s *source) { s.down = true })
				}
				calls := store.count()
				for version := uint64(6); version < 10; version++ {
					fallback[2].set(func(s *source) { s.version = version })
					time.Sleep(inForceWithin)
					if set := m.Rules(); set == nil || set.Version != version {
						t.Errorf("rules %+v, want version %d", set, version)
					}
				}
				if n := store.count() - calls; n > 10 {
					t.Errorf("%d calls of the store in 8 s", n)
				}
				for _, s := range []*source{store, watcher} {
					s.set(func(s *source) { s.version, s.down = 10, false })
				}
				time.Sleep(5 * time.Second)
				if set := m.Rules(); set.Version != 10 {
					t.Errorf("rules %+v after the store answers again", set)
				}
				calls = fallback[2].count()
				time.Sleep(5 * time.Second)
				if n := fallback[2].count() - calls; n > 0 {
					t.Errorf("%d calls of another relay after the store answers again", n)
				}
				_ = m.Stop(t.Context())
			})
		})
	}
}

// recorder keeps the longest time between two contacts with the store, and the number of losses.
type recorder struct {
	last    time.Time
	longest time.Duration
	lost    int
}

func (r *recorder) Lost() { r.lost++ }

func (r *recorder) Add(_ mirror.Batch, lastContact time.Time) {
	if !r.last.IsZero() {
		r.longest = max(r.longest, lastContact.Sub(r.last))
	}
	r.last = lastContact
}

// TestContactAge guards against a VM whose followers treat it as stale because it waits for the batch delay and then for
// more changes: they call the store when their batch is 1.4 s old.
func TestContactAge(t *testing.T) {
	for name, pause := range map[string]time.Duration{"rare changes": 1700 * time.Millisecond, "frequent changes": 150 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store, r := &source{version: 5}, &recorder{}
			m := newMirror(store, r)
			_ = m.Start(t.Context())
			for range 20 {
				time.Sleep(pause)
				store.set(func(s *source) { s.version++ })
			}
			_ = m.Stop(t.Context())
			if r.longest > 1100*time.Millisecond {
				t.Errorf("%s: no contact with the store for %s", name, r.longest)
			}
		})
	}
}

// TestStoreFails guards against a VM that keeps waiting for a store that fails although a peer has the entries.
func TestStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, first, second := &source{version: 5}, &source{version: 5}, &source{version: 5}
		peers := []mirror.Peer{{Name: "a", Source: first}, {Name: "b", Source: second}}
		m := newMirror(store, relay{}, peers...)
		_ = m.Start(t.Context())
		time.Sleep(5 * time.Second)
		for _, s := range []*source{store, first, second} {
			s.set(func(s *source) { s.down = true })
		}
		time.Sleep(4 * time.Second)
		second.set(func(s *source) { s.down, s.version = false, 9 })
		time.Sleep(4 * time.Second)
		if set := m.Rules(); set == nil || set.Version != 9 {
			t.Errorf("rules %+v", set)
		}
		_ = m.Stop(t.Context())
	})
}

// TestFollowerAvoidsStore guards against a fleet whose VMs all call the store when the VM that they follow loses contact
// with it for a moment, or ends, although the standby has the same entries.
func TestFollowerAvoidsStore(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(*source)
		most  int
	}{
		"the peer is down":   {func(s *source) { s.down = true }, 0},
		"the peer is stale":  {func(s *source) { s.stale, s.age = true, 1700*time.Millisecond }, 0},
		"the peer hangs":     {func(s *source) { s.hangs = true }, 1},
		"the peer lags":      {func(s *source) { s.age = 1450 * time.Millisecond }, 0},
		"nothing goes wrong": {func(*source) {}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			store, first, second := &source{version: 5}, &source{version: 5}, &source{version: 5}
			m := newMirror(store, relay{}, mirror.Peer{Name: "a", Source: first}, mirror.Peer{Name: "b", Source: second})
			_ = m.Start(t.Context())
			time.Sleep(5900 * time.Millisecond)
			before := store.count()
			first.set(c.fault)
			time.Sleep(3500 * time.Millisecond)
			if n := store.count() - before; n > c.most {
				t.Errorf("%s: %d calls to the store", name, n)
			}
			_ = m.Stop(t.Context())
		})
	}
}

// TestBrokenWatch guards against a VM that reports the store as lost to its followers because one watch of it broke.
func TestBrokenWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, r := &source{version: 5}, &recorder{}
		m := newMirror(store, r)
		_ = m.Start(t.Context())
		time.Sleep(5 * time.Second)
		store.set(func(s *source) { s.drops++ })
		time.Sleep(5 * time.Second)
		_ = m.Stop(t.Context())
		if r.lost > 0 || r.longest > 1200*time.Millisecond {
			t.Errorf("lost %d times, no contact with the store for %s", r.lost, r.longest)
		}
	})
}

// TestCalls guards against calls to the store by VMs that follow a peer, and against many calls while it is down.
func TestCalls(t *testing.T) {
	for name, c := range map[string]struct{ peers, most int }{"standby": {1, 45}, "other followers": {2, 15}} {
		synctest.Test(t, func(t *testing.T) {
			sources := []*source{{version: 5}}
			var peers []mirror.Peer
			for i := range c.peers {
				p := &source{version: 5}
				sources = append(sources, p)
				peers = append(peers, mirror.Peer{Name: string(rune('a' + i)), Source: p})
			}
			store := sources[0]
			m := newMirror(store, relay{}, peers...)
			_ = m.Start(t.Context())
			time.Sleep(30 * time.Second)
			if n := store.count(); n > 1 {
				t.Errorf("%s: %d calls to the store while a peer is followed", name, n)
			}
			for _, s := range sources {
				s.set(func(s *source) { s.down = true })
			}
			before := store.count()
			time.Sleep(20 * time.Second)
			if n := store.count() - before; n > c.most {
				t.Errorf("%s: %d calls in 20 s of an outage", name, n)
			}
			_ = m.Stop(t.Context())
		})
	}
}

// TestFollowersAwaitRelay guards against a large fleet whose VMs all call the store while their relays, which answer, have
// lost contact with it, and against one whose VMs get no changes because no relay answers.
func TestFollowersAwaitRelay(t *testing.T) {
	for name, c := range map[string]struct {
		fault       func(*source)
		least, most int
	}{
		"the relays have lost contact": {func(s *source) { s.stale, s.age = true, 3*time.Second }, 0, 0},
		"the relays are gone":          {func(s *source) { s.down = true }, 1, 4},
	} {
		for _, tier := range []topology.Tier{topology.Direct, topology.Indirect} {
			synctest.Test(t, func(t *testing.T) {
				store, first, second := &source{version: 5}, &source{version: 5}, &source{version: 5}
				m := newMirrorAt(tier, store, relay{}, mirror.Peer{Name: "a", Source: first}, mirror.Peer{Name: "b", Source: second})
				_ = m.Start(t.Context())
				time.Sleep(5 * time.Second)
				first.set(c.fault)
				second.set(c.fault)
				// Followers in a fleet of unknown size call the store once their entries are 4 s old at the earliest.
				time.Sleep(4*time.Second - m.Age() - time.Millisecond)
				if n := store.count(); n < c.least || n > c.most {
					t.Errorf("%s, tier %d: %d calls to the store, want %d to %d", name, tier, n, c.least, c.most)
				}
				_ = m.Stop(t.Context())
			})
		}
	}
}

// TestRelaysCutOff guards against rules that are not in force in time at VMs that reach the store, because all relays that they
// follow have lost contact with it.
func TestRelaysCutOff(t *testing.T) {
	const small, large = 17, 400
	for name, c := range map[string]struct {
		fleetSize int
		// fault happens at the store while the relays are cut off.
		fault func(store *source)
		// first is the time within which the first change after the loss of contact has to be in force.
		first time.Duration
	}{
		"a small fleet":                     {small, func(*source) {}, inForceWithin},
		"a small fleet, and a watch breaks": {small, func(s *source) { s.drops++ }, 2 * inForceWithin},
		"a large fleet":                     {large, func(*source) {}, 2*4*time.Second + inForceWithin},
	} {
		for _, tier := range []topology.Tier{topology.Direct, topology.Indirect} {
			synctest.Test(t, func(t *testing.T) {
				store, first, second := &source{version: 5}, &source{version: 5}, &source{version: 5}
				m := newMirrorOf(mirror.Sources{
					Tier: tier, FleetSize: c.fleetSize, Peers: []mirror.Peer{{Name: "a", Source: first}, {Name: "b", Source: second}},
				}, store, relay{})
				_ = m.Start(t.Context())
				defer func() { _ = m.Stop(t.Context()) }()
				time.Sleep(5 * time.Second)
				for _, s := range []*source{first, second} {
					s.set(func(s *source) { s.stale, s.age = true, 3*time.Second })
				}
				time.Sleep(inForceWithin)
				store.set(c.fault)
				within := c.first
				for version := uint64(6); version < 12; version++ {
					store.set(func(s *source) { s.version = version })
					time.Sleep(within)
					within = inForceWithin
					if set := m.Rules(); set.Version != version {
						t.Errorf("%s, tier %d: version %d in force instead of %d", name, tier, set.Version, version)
					}
				}
			})
		}
	}
}

// TestGraceOfFollowers guards against VMs that drop upstreams at once whose entries expired in an outage, because they did
// not notice the outage themselves.
func TestGraceOfFollowers(t *testing.T) {
	for name, c := range map[string]struct {
		sinceOutage time.Duration
		want        int
	}{"just after an outage": {time.Millisecond, 1}, "long after an outage": {time.Minute, 0}} {
		synctest.Test(t, func(t *testing.T) {
			time.Sleep(time.Hour)
			peer, r := &source{version: 5}, roster.New()
			log := logrus.New()
			log.SetOutput(io.Discard)
			m := mirror.New(mirror.Config{
				Store: &source{down: true}, Relay: relay{}, Roster: r, Fleet: fleet.New(fleet.VM{}), OnChange: func() {},
				Log: logrus.NewEntry(log), Discover: func(context.Context, bool) error { return nil },
				MayReadStore: func() bool { return false },
				Sources: func() mirror.Sources {
					return mirror.Sources{Tier: topology.Indirect, Peers: []mirror.Peer{{Name: "a", Source: peer}}}
				},
				Decode: func(e mirror.Entry, _ time.Time) []mirror.Change {
					if e.Revision > 5 {
						return []mirror.Change{mirror.UpstreamRemoved{ID: "u"}}
					}
					return []mirror.Change{mirror.UpstreamPut{Upstream: roster.Upstream{ID: "u"}}}
				},
			})
			_ = m.Start(t.Context())
			time.Sleep(5 * time.Second)
			peer.set(func(s *source) { s.version, s.outageEnd = 6, time.Now().Add(-c.sinceOutage) })
			time.Sleep(500 * time.Millisecond)
			if r.Len() != c.want {
				t.Errorf("%s: %d upstreams, want %d", name, r.Len(), c.want)
			}
			_ = m.Stop(t.Context())
		})
	}
}
