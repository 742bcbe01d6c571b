package crash

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/fulmarhitch/fulmarhitch/quarantine"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/ring"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// maxFingerprints bounds the fingerprints held in the table.
	maxFingerprints = 3 * 1024
	// maxPendingReports bounds the queue of deaths to report.
	maxPendingReports = 64
	// reportsPerSecond limits the reports of one VM, since many harmless requests may be in progress on an upstream
	// that dies.
	reportsPerSecond = 4
	// reportBurst is the number of reports that may be sent at once: the slots of one upstream.
	reportBurst = 8
	// reportTimeout bounds one report to the store.
	reportTimeout = time.Second
)

// Store shares deaths between the VMs.
type Store interface {
	// ReportDeath stores a death, which expires after the lifetime, with the fingerprints of the request from coarse to fine.
	ReportDeath(ctx context.Context, fingerprints []uint64, death uint64, lifetime time.Duration) error
}

// report is the death of an upstream while it ran the request with the fingerprints.
type report struct {
	fingerprints []uint64
	death        uint64
}

// Guard records which requests crash upstreams. It is safe for concurrent use.
type Guard struct {
	store   Store
	log     *logrus.Entry
	reports *ring.Ring[report]

	// hasDeaths reports whether a death was ever recorded; until then, requests are not hashed.
	hasDeaths atomic.Bool

	mu    sync.Mutex
	table *quarantine.Table
}

// New returns a guard without recorded deaths.
func New(store Store, log *logrus.Entry) *Guard {
	return &Guard{store: store, log: log, reports: ring.New[report](maxPendingReports), table: quarantine.New(maxFingerprints)}
}

// IsQuarantined reports whether the request is quarantined and must not be sent.
func (g *Guard) IsQuarantined(r *request.Request) bool {
	if !g.hasDeaths.Load() {
		return false
	}
	fingerprints, now := r.Fingerprints(), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(fingerprints, func(f uint64) bool { return g.table.Level(f, now) == quarantine.Quarantined })
}

// RecordDeath records that the upstream died while it ran the request, and queues a report for the other VMs.
func (g *Guard) RecordDeath(r *request.Request, up roster.Upstream) {
	d := report{fingerprints: r.Fingerprints(), death: deathOf(up)}
	g.log.WithFields(logrus.Fields{"request": r.ID, "upstream": up.ID}).Warn("upstream died while it ran a request")
	if g.Learn(d.fingerprints, d.death) {
		// If the ring is full, many deaths are already being reported and this one is dropped.
		g.reports.Offer(d)
	}
}

// deathOf identifies the death of the upstream's present incarnation.
func deathOf(up roster.Upstream) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(up.StartedMS, 10) + " " + up.ID)
}

// Answered clears a request that an upstream has answered. Requests that differ from it in part stay as they are.
func (g *Guard) Answered(r *request.Request) {
	if !g.hasDeaths.Load() {
		return
	}
	fingerprints := r.Fingerprints()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range fingerprints {
		g.table.MarkAnswered(f)
	}
}

// Learn records a death of now with the fingerprints of the request that the upstream ran, from coarse to fine, and reports whether it
// was new.
func (g *Guard) Learn(fingerprints []uint64, death uint64) (added bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for i, f := range fingerprints {
		e := quarantine.Entry{Fingerprint: f, Death: death, At: now}
		if i+1 < len(fingerprints) {
			e.Part = fingerprints[i+1]
		}
		previous := g.table.Level(f, now)
		if !g.table.Add(e, now) {
			continue
		}
		added = true
		if previous != quarantine.Quarantined && g.table.Level(f, now) == quarantine.Quarantined {
			g.log.WithFields(logrus.Fields{"fingerprint": f, "part": i}).Warn("request is in quarantine")
		}
	}
	if added {
		g.hasDeaths.Store(true)
	}
	return added
}

// RunReports is the worker that sends queued deaths to the store for the other VMs. It returns when ctx is done.
func (g *Guard) RunReports(ctx context.Context) {
	limiter := rate.NewLimiter(reportsPerSecond, reportBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-g.reports.Items():
			if limiter.Wait(ctx) != nil {
				return
			}
			reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			err := g.store.ReportDeath(reportCtx, d.fingerprints, d.death, quarantine.Span)
			cancel()
			if err != nil {
				g.log.WithError(err).Warn("could not report the death of an upstream to the other VMs")
			}
		}
	}
}
