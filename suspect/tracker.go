package suspect

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/quarantine"
)

const (
	// deathWindow is the time within which failed requests of one upstream count as one death.
	deathWindow = 2 * time.Second
	// maxFingerprints bounds the fingerprints held in the table.
	maxFingerprints = 4096
	// maxDeaths bounds the upstreams whose last death is held.
	maxDeaths = 4096
)

// Tracker records the deaths of upstreams by the requests that were in progress on them. It is safe for concurrent use.
type Tracker struct {
	publish func(*peerpb.Event)
	// used is set once a death has been recorded. Until then, Level takes no lock.
	used atomic.Bool

	mu     sync.Mutex
	table  *quarantine.Table
	deaths map[upstreamKey]death
}

type upstreamKey struct {
	service, upstream string
}

type death struct {
	id uint64
	at time.Time
}

// New returns a tracker that sends new deaths to peers through publish.
func New(publish func(*peerpb.Event)) *Tracker {
	return &Tracker{publish: publish, table: quarantine.New(maxFingerprints), deaths: make(map[upstreamKey]death)}
}

// Level returns the level of the request with the fingerprint.
func (t *Tracker) Level(fingerprint uint64, now time.Time) quarantine.Level {
	if !t.used.Load() {
		return quarantine.Clear
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Level(fingerprint, now)
}

// RecordDeath records that the upstream died with the request in progress, and publishes the death to peers if it is new.
func (t *Tracker) RecordDeath(fingerprint uint64, service, upstream string, now time.Time) {
	t.mu.Lock()
	id := t.deathID(upstreamKey{service, upstream}, now)
	added := t.table.Add(quarantine.Entry{Fingerprint: fingerprint, Death: id, At: now}, now)
	t.used.Store(true)
	t.mu.Unlock()
	if added {
		t.publish(&peerpb.Event{Kind: &peerpb.Event_Suspect{Suspect: &peerpb.SuspectEvent{Fingerprint: fingerprint, Death: id}}})
	}
}

// deathID returns the identifier of the upstream's last death, or a new one if that death is older than deathWindow. The
// caller must hold t.mu.
func (t *Tracker) deathID(k upstreamKey, now time.Time) uint64 {
	if d, ok := t.deaths[k]; ok && now.Sub(d.at) < deathWindow {
		return d.id
	}
	if len(t.deaths) >= maxDeaths {
		clear(t.deaths)
	}
	d := death{id: rand.Uint64(), at: now}
	t.deaths[k] = d
	return d.id
}

// AddRemote records the death of an upstream reported by a peer.
func (t *Tracker) AddRemote(e *peerpb.SuspectEvent) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond)
	t.table.Add(quarantine.Entry{Fingerprint: e.GetFingerprint(), Death: e.GetDeath(), At: at}, now)
	t.used.Store(true)
}

// Answered clears a suspected request after an upstream has answered it, since it does not crash upstreams. A quarantined
// request stays quarantined.
func (t *Tracker) Answered(fingerprint uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Level(fingerprint, now) == quarantine.Suspect {
		t.table.MarkAnswered(fingerprint)
	}
}
