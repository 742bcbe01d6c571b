package crash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// silenceMemory is the time within which an upstream that is silent has lost its entry in the store: three of its reports, which come
	// every 1.5 s on most deployments, and some seconds of an outage of the store.
	silenceMemory = 15 * time.Second
	// maxSilences bounds the requests without an answer that are held.
	maxSilences = 256
)

// silence is a request that an upstream has not answered.
type silence struct {
	evidence  Evidence
	requestID string
	upstream  roster.Upstream
	at        time.Time
}

// silences holds requests without an answer until their upstreams show whether they have died. It is safe for concurrent use.
type silences struct {
	// size is the number of requests, which is mostly 0.
	size atomic.Int64
	mu   sync.Mutex
	all  []silence
}

// RecordSilence records a request that the upstream has not answered. If the upstream doesn't send anything from now on and its
// incarnation ends, that was its death: an upstream without power, or behind a broken link, doesn't close its connections.
func (g *Guard) RecordSilence(r *request.Request, up roster.Upstream) {
	s := silence{evidenceOf(r), r.ID, up, time.Now()}
	g.silences.mu.Lock()
	defer g.silences.mu.Unlock()
	if len(g.silences.all) < maxSilences {
		g.silences.all = append(g.silences.all, s)
		g.silences.size.Add(1)
	}
}

// Heard records that the upstream has sent an answer of any kind.
func (g *Guard) Heard(up roster.Upstream) {
	if g.silences.size.Load() == 0 {
		return
	}
	g.silences.remove(func(s silence) bool { return s.upstream.ID == up.ID && s.upstream.StartedMS == up.StartedMS })
}

// remove deletes the requests for which the function returns true.
func (s *silences) remove(f func(silence) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = slices.DeleteFunc(s.all, f)
	s.size.Store(int64(len(s.all)))
}

// CheckSilences records the deaths of upstreams whose incarnation has ended since they were silent. The function get returns the present
// incarnation of an upstream, and reportedAt the time of its latest sign of life besides the answers that Heard records.
func (g *Guard) CheckSilences(get func(id string) (roster.Upstream, bool), reportedAt func(id string, now time.Time) time.Time, now time.Time) {
	if g.silences.size.Load() == 0 {
		return
	}
	var died []silence
	g.silences.remove(func(s silence) bool {
		current, isKnown := get(s.upstream.ID)
		switch {
		case reportedAt(s.upstream.ID, now).After(s.at) && isKnown && current.StartedMS == s.upstream.StartedMS:
			return true
		case isKnown && current.StartedMS == s.upstream.StartedMS:
			return current.Draining || now.Sub(s.at) > silenceMemory
		}
		died = append(died, s)
		return true
	})
	for _, s := range died {
		g.recordDeath(s.evidence, s.requestID, s.upstream)
	}
}
