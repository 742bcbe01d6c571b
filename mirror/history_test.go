package mirror_test

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/topology"
)

// history is a fake store, or a fake peer, whose entries are upstreams. Each put has the next revision.
type history struct {
	mu   sync.Mutex
	era  uint64
	keys []string
	down bool
}

func (h *history) put(keys ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keys = append(h.keys, keys...)
}

// restore begins a history with the first n changes of the last one, followed by puts of the keys.
func (h *history) restore(n int, keys ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.era++
	h.keys = append(append([]string{}, h.keys[:n]...), keys...)
}

func (h *history) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// since returns the changes after the revision.
func (h *history) since(revision uint64) (mirror.Batch, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := mirror.Batch{Era: h.era, Revision: uint64(len(h.keys))}
	switch {
	case h.down:
		return mirror.Batch{}, errDown
	case revision > b.Revision:
		return mirror.Batch{}, mirror.ErrCompacted
	}
	for i, key := range h.keys[revision:] {
		b.Entries = append(b.Entries, mirror.Entry{Key: key, Revision: revision + uint64(i) + 1})
	}
	return b, nil
}

func (h *history) Snapshot(context.Context) (mirror.Batch, error) {
	b, err := h.since(0)
	b.Whole = true
	return b, err
}

func (h *history) Watch(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		b, err := h.since(after.Revision)
		if err != nil || len(b.Entries) > 0 || !time.Now().Before(end) {
			return b, err
		}
		if ctx.Err() != nil {
			return mirror.Batch{}, ctx.Err()
		}
	}
}

// newHistoryMirror returns a mirror of the store that follows the peers, and its upstreams.
func newHistoryMirror(store *history, peers ...*history) (*mirror.Mirror, *roster.Roster) {
	log, r := logrus.New(), roster.New()
	log.SetOutput(io.Discard)
	var list []mirror.Peer
	for i, p := range peers {
		list = append(list, mirror.Peer{Name: strconv.Itoa(i), Source: p})
	}
	return mirror.New(mirror.Config{
		Store: store, Sources: func() mirror.Sources {
			return mirror.Sources{Tier: topology.Tier(min(len(list), int(topology.Relay))), Peers: list}
		},
		Decode: func(e mirror.Entry, _ time.Time) []mirror.Change {
			return []mirror.Change{mirror.UpstreamPut{Upstream: roster.Upstream{ID: e.Key}}}
		},
		Discover: func(context.Context, bool) error { return nil }, MayReadStore: func() bool { return true },
		Relay: relay{}, Roster: r, Fleet: fleet.New(fleet.VM{}), OnChange: func() {}, Log: logrus.NewEntry(log),
	}), r
}

// TestRevisionsGivenOutAgain guards against a VM that misses changes of a restored store because it asks for those after a
// revision of the lost history, and against one that returns to the lost history at a peer.
func TestRevisionsGivenOutAgain(t *testing.T) {
	tests := map[string]struct {
		peers int
		// change restores the store, and with it the peers.
		change func(store *history, peers []*history)
		want   []string
		not    string
	}{
		"up to the known revision": {0, func(store *history, _ []*history) { store.restore(2, "d", "e") }, []string{"d", "e", "new"}, ""},
		"beyond it":                {0, func(store *history, _ []*history) { store.restore(2, "d", "e", "f") }, []string{"d", "e", "f", "new"}, ""},
		"below it":                 {0, func(store *history, _ []*history) { store.restore(2, "d") }, []string{"d", "new"}, ""},
		"by a peer": {1, func(_ *history, peers []*history) {
			peers[0].restore(2, "d", "e")
		}, []string{"d", "e", "new"}, ""},
		"by the second peer": {2, func(_ *history, peers []*history) {
			peers[0].setDown(true)
			peers[1].restore(2, "d", "e")
		}, []string{"d", "e", "new"}, ""},
		"unknown to a peer": {2, func(store *history, peers []*history) {
			store.restore(2, "d", "e")
			peers[0].restore(2, "d", "e")
			time.Sleep(2 * time.Second)
			peers[0].setDown(true)
			peers[1].put("lost")
		}, []string{"d", "e", "new"}, "lost"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &history{era: 1, keys: []string{"a", "b", "c", "c"}}
				var peers []*history
				for range test.peers {
					peers = append(peers, &history{era: 1, keys: []string{"a", "b", "c", "c"}})
				}
				m, r := newHistoryMirror(store, peers...)
				_ = m.Start(t.Context())
				time.Sleep(5 * time.Second)
				test.change(store, peers)
				time.Sleep(2 * time.Second)
				for _, h := range append(peers, store) {
					h.put("new")
				}
				time.Sleep(inForceWithin)
				for _, key := range test.want {
					if !r.Has(key) {
						t.Errorf("upstream %q is missing", key)
					}
				}
				if test.not != "" && r.Has(test.not) {
					t.Errorf("upstream %q of the lost history is back", test.not)
				}
				_ = m.Stop(t.Context())
			})
		})
	}
}

// TestOlderRead guards against a VM that misses changes because a peer that is behind sent it all entries, while it kept
// the later revision that it knew before.
func TestOlderRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, peer := &history{keys: []string{"a", "b", "c", "d"}}, &history{keys: []string{"a", "b"}, down: true}
		m, r := newHistoryMirror(store, peer)
		_ = m.Start(t.Context())
		time.Sleep(time.Second)
		store.setDown(true)
		time.Sleep(8 * time.Second)
		peer.setDown(false)
		time.Sleep(2 * time.Second)
		if got := m.Position(); got != (mirror.Position{Revision: 2}) {
			t.Errorf("position %+v after a read of all entries up to revision 2", got)
		}
		peer.put("e", "f")
		time.Sleep(2 * time.Second)
		if !r.Has("e") || !r.Has("f") {
			t.Error("changes are missing")
		}
		_ = m.Stop(t.Context())
	})
}

// TestGraceAfterRestore guards against dropping upstreams at once that a store restored from an older copy lacks, because it
// was away for too short a time to count as lost.
func TestGraceAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Hour)
		store := &history{era: 1, keys: []string{"a", "b", "c", "d"}}
		m, r := newHistoryMirror(store)
		_ = m.Start(t.Context())
		time.Sleep(5 * time.Second)
		store.restore(1)
		time.Sleep(1500 * time.Millisecond)
		r.Expire(time.Now())
		if r.Len() != 4 {
			t.Errorf("%d upstreams 1.5 s after the store was restored, want 4", r.Len())
		}
		time.Sleep(2 * time.Second)
		r.Expire(time.Now())
		if r.Len() != 1 {
			t.Errorf("%d upstreams after the grace period, want 1", r.Len())
		}
		_ = m.Stop(t.Context())
	})
}
