package crash

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/quarantine"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/ring"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// maxFingerprints bounds the fingerprints held in the table, of which a request with ten headers has 13.
	maxFingerprints = 16 * 1024
	// maxSeen bounds the deaths and answers that are remembered, so that each counts once also if the store is read again.
	maxSeen = 16 * 1024
	// earlyPart is the part of a quarantine by which it ends earlier at some VMs than at others. If it ended at all VMs together, a request
	// that comes often would crash several upstreams before they know of the first one.
	earlyPart = 0.25
)

// Guard records which requests crash upstreams. It is safe for concurrent use.
type Guard struct {
	store   Store
	log     *logrus.Entry
	reports *ring.Ring[report]
	// seed selects at which part of a quarantine this VM ends it.
	seed uint64
	// hasDeaths reports whether a death was ever recorded; until then, requests are not hashed.
	hasDeaths atomic.Bool
	silences  silences

	mu    sync.Mutex
	table *quarantine.Table
	// causes holds, for the fingerprint of a work, what was put into quarantine of its requests.
	causes map[uint64][]uint64
	// counts holds the deaths without an answer by fingerprint.
	counts map[uint64]count
	// trials holds the times at which the latest requests were sent whose quarantine has ended or may have another cause.
	trials map[uint64]time.Time
	// seen holds the deaths and answers of requests by their hashes.
	seen map[uint64]time.Time
}

// New returns a guard without recorded deaths.
func New(store Store, log *logrus.Entry) *Guard {
	g := &Guard{
		store: store, log: log, reports: ring.New[report](maxPendingReports), seed: rand.Uint64(), table: quarantine.New(maxFingerprints),
		causes: make(map[uint64][]uint64), counts: make(map[uint64]count), trials: make(map[uint64]time.Time), seen: make(map[uint64]time.Time),
	}
	g.table.SetEarly(g.early)
	return g
}

// IsQuarantined reports whether the request is quarantined and must not be sent.
func (g *Guard) IsQuarantined(r *request.Request) bool {
	if !g.hasDeaths.Load() {
		return false
	}
	e, now := evidenceOf(r), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	all := e.all()
	var doubtful []uint64
	for _, f := range all {
		state := g.table.Quarantine(f, now)
		if state.Left > 0 && !g.hasOtherCause(e.work(), all, f, now) {
			return true
		}
		if state.Duration > 0 {
			doubtful = append(doubtful, f)
		}
	}
	return !g.tryOnce(doubtful, now)
}

// RecordDeath records that the upstream died while it ran the request, and queues a report for the other VMs.
func (g *Guard) RecordDeath(r *request.Request, up roster.Upstream) {
	g.recordDeath(evidenceOf(r), r.ID, up)
}

func (g *Guard) recordDeath(e Evidence, requestID string, up roster.Upstream) {
	g.log.WithFields(logrus.Fields{"request": requestID, "upstream": up.ID}).Warn("upstream died while it ran a request")
	if death := deathOf(up); g.Learn(e, death) {
		// If the ring is full, many deaths are already being reported and this one is dropped.
		g.reports.Offer(report{Evidence: e, id: death})
	}
}

// deathOf identifies the death of the upstream's present incarnation.
func deathOf(up roster.Upstream) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(up.StartedMS, 10) + " " + up.ID)
}

// Answered clears a request that an upstream has answered, and queues a report for the other VMs if it was suspected. Requests that
// differ from it in part stay as they are.
func (g *Guard) Answered(r *request.Request) {
	if !g.hasDeaths.Load() {
		return
	}
	e := evidenceOf(r)
	if g.clear(e) {
		a := report{Evidence: e, id: rand.Uint64(), isAnswer: true}
		g.mu.Lock()
		g.isNew(a.id, time.Now())
		g.mu.Unlock()
		g.reports.Offer(a)
	}
}

// LearnAnswer clears a request that another VM has an answer to.
func (g *Guard) LearnAnswer(e Evidence, answer uint64) {
	if !g.hasDeaths.Load() {
		return
	}
	g.mu.Lock()
	isNew := g.isNew(answer, time.Now())
	g.mu.Unlock()
	if isNew {
		g.clear(e)
	}
}

// clear clears the request and reports whether it was suspected.
func (g *Guard) clear(e Evidence) (wasSuspected bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range e.all() {
		wasSuspected = g.table.Level(f, now) != quarantine.Clear || wasSuspected
		g.table.MarkAnswered(f)
		delete(g.counts, f)
		delete(g.trials, f)
	}
	return wasSuspected
}

// isSuspected reports whether anything speaks against the request.
func (g *Guard) isSuspected(e Evidence) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(e.all(), func(f uint64) bool { return g.table.Level(f, now) != quarantine.Clear })
}

// Learn records a death of now while an upstream ran a request, and reports whether it was new.
func (g *Guard) Learn(e Evidence, death uint64) (added bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.isNew(death^e.finest(), now) {
		return false
	}
	isMany := false
	for i, f := range e.Fingerprints {
		entry := quarantine.Entry{Fingerprint: f, Death: death, At: now, Deaths: g.countDeath(f, death, now)}
		isMany = isMany || i == callerPart && entry.Deaths >= manyDeaths
		if i+1 < len(e.Fingerprints) && !(i == callerPart && isMany) {
			entry.Part = e.Fingerprints[i+1]
		}
		added = g.add(e.work(), entry, i) || added
	}
	for _, f := range e.Features {
		entry := quarantine.Entry{Fingerprint: f, Death: death, At: now, Deaths: g.countDeath(f, death, now)}
		if !isMany || entry.Deaths < manyDeaths {
			entry.Part = e.finest()
		}
		added = g.add(e.work(), entry, featurePart) || added
	}
	if added {
		g.hasDeaths.Store(true)
	}
	return added
}

// early returns the part by which quarantines of the fingerprint are shorter at this VM.
func (g *Guard) early(fingerprint uint64) float64 {
	const bits = 16
	hash := (fingerprint ^ g.seed) * 0x9e3779b97f4a7c15 // the golden ratio, as in Fibonacci hashing
	return earlyPart * float64(hash>>(64-bits)) / (1 << bits)
}

// isNew reports whether the identifier was not seen within the time for which its entry may be read again, and records it. The caller holds
// mu.
func (g *Guard) isNew(id uint64, now time.Time) bool {
	if at, isKnown := g.seen[id]; isKnown && now.Sub(at) < 2*quarantine.Span {
		return false
	}
	if len(g.seen) >= maxSeen {
		for id, at := range g.seen {
			if now.Sub(at) >= 2*quarantine.Span {
				delete(g.seen, id)
			}
		}
		if len(g.seen) >= maxSeen {
			clear(g.seen)
		}
	}
	g.seen[id] = now
	return true
}
