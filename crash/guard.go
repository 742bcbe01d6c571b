package crash

import (
	"context"
	"strconv"
	"sync"
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
	maxFingerprints = 1024
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
	// ReportDeath stores a death, which expires after the lifetime.
	ReportDeath(ctx context.Context, fingerprint, death uint64, lifetime time.Duration) error
}

// Guard records which requests crash upstreams. It is safe for concurrent use.
type Guard struct {
	store   Store
	log     *logrus.Entry
	reports *ring.Ring[quarantine.Entry]

	mu    sync.Mutex
	table *quarantine.Table
	// deaths counts the recorded deaths; while it is 0, requests are not hashed.
	deaths int
}

// New returns a guard without recorded deaths.
func New(store Store, log *logrus.Entry) *Guard {
	return &Guard{store: store, log: log, reports: ring.New[quarantine.Entry](maxPendingReports), table: quarantine.New(maxFingerprints)}
}

// IsQuarantined reports whether the request is quarantined and must not be sent.
func (g *Guard) IsQuarantined(r *request.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deaths > 0 && g.table.Level(r.Fingerprint(), time.Now()) == quarantine.Quarantined
}

// RecordDeath records that the upstream died while it ran the request, and queues a report for the other VMs.
func (g *Guard) RecordDeath(r *request.Request, up roster.Upstream) {
	e := quarantine.Entry{Fingerprint: r.Fingerprint(), Death: deathOf(up), At: time.Now()}
	g.log.WithFields(logrus.Fields{"request": r.ID, "upstream": up.ID}).Warn("upstream died while it ran a request")
	if g.Learn(e) {
		// If the ring is full, many deaths are already being reported and this one is dropped.
		g.reports.Offer(e)
	}
}

// deathOf identifies the death of the upstream's present incarnation.
func deathOf(up roster.Upstream) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(up.StartedMS, 10) + " " + up.ID)
}

// Answered clears a request that an upstream has answered.
func (g *Guard) Answered(r *request.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deaths > 0 {
		g.table.Remove(r.Fingerprint())
	}
}

// Learn records a death and reports whether it was new.
func (g *Guard) Learn(e quarantine.Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	previous := g.table.Level(e.Fingerprint, now)
	if !g.table.Add(e.Fingerprint, e.Death, e.At, now) {
		return false
	}
	g.deaths++
	if previous != quarantine.Quarantined && g.table.Level(e.Fingerprint, now) == quarantine.Quarantined {
		g.log.WithField("fingerprint", e.Fingerprint).Warn("request is in quarantine")
	}
	return true
}

// RunReports is the worker that sends queued deaths to the store for the other VMs. It returns when ctx is done.
func (g *Guard) RunReports(ctx context.Context) {
	limiter := rate.NewLimiter(reportsPerSecond, reportBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.reports.Items():
			if limiter.Wait(ctx) != nil {
				return
			}
			reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			err := g.store.ReportDeath(reportCtx, e.Fingerprint, e.Death, quarantine.Span)
			cancel()
			if err != nil {
				g.log.WithError(err).Warn("could not report the death of an upstream to the other VMs")
			}
		}
	}
}
