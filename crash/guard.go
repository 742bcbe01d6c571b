package crash

import (
	"context"
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
	// limit bounds the fingerprints that are remembered.
	limit = 1024
	// pending bounds the deaths that wait to be reported.
	pending = 64
	// reportsPerSecond bounds the reports of one VM: many innocent requests are in progress where an upstream dies.
	reportsPerSecond = 4
	// reportBurst is the number of reports that may go out at once: the slots of one upstream.
	reportBurst = 8
	// callTimeout bounds a report.
	callTimeout = time.Second
)

// Store carries deaths between the VMs.
type Store interface {
	// ReportDeath makes a death known for the lifetime.
	ReportDeath(ctx context.Context, fingerprint, death uint64, lifetime time.Duration) error
}

// Guard knows the requests that crash upstreams. It serves many goroutines.
type Guard struct {
	store   Store
	log     *logrus.Entry
	reports *ring.Ring[quarantine.Entry]

	mu    sync.Mutex
	table *quarantine.Table
	// known is the number of deaths entered; while it is 0, no request has to be hashed.
	known int
}

// New returns a guard that knows of no death.
func New(store Store, log *logrus.Entry) *Guard {
	return &Guard{store: store, log: log, reports: ring.New[quarantine.Entry](pending), table: quarantine.New(limit)}
}

// IsQuarantined tells whether the request may not be sent.
func (g *Guard) IsQuarantined(r *request.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known > 0 && g.table.Level(r.Fingerprint(), time.Now()) == quarantine.Quarantined
}

// Died takes a request whose upstream died while it ran.
func (g *Guard) Died(r *request.Request, up roster.Upstream) {
	e := quarantine.Entry{Fingerprint: r.Fingerprint(), Death: xxhash.Sum64String(up.ID), At: time.Now()}
	g.log.WithFields(logrus.Fields{"request": r.ID, "upstream": up.ID}).Warn("upstream died while it ran a request")
	if g.Learn(e) {
		// A full ring means that many deaths are being reported already.
		g.reports.Offer(e)
	}
}

// Answered clears a request that an upstream has answered.
func (g *Guard) Answered(r *request.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known > 0 {
		g.table.Remove(r.Fingerprint())
	}
}

// Learn enters a death and tells whether it was new.
func (g *Guard) Learn(e quarantine.Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	before := g.table.Level(e.Fingerprint, now)
	if !g.table.Add(e.Fingerprint, e.Death, e.At, now) {
		return false
	}
	g.known++
	if before != quarantine.Quarantined && g.table.Level(e.Fingerprint, now) == quarantine.Quarantined {
		g.log.WithField("fingerprint", e.Fingerprint).Warn("request is in quarantine")
	}
	return true
}

// Report is the duty that makes deaths known to the other VMs.
func (g *Guard) Report(ctx context.Context) {
	limiter := rate.NewLimiter(reportsPerSecond, reportBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.reports.Items():
			if limiter.Wait(ctx) != nil {
				return
			}
			call, cancel := context.WithTimeout(ctx, callTimeout)
			err := g.store.ReportDeath(call, e.Fingerprint, e.Death, quarantine.Span)
			cancel()
			if err != nil {
				g.log.WithError(err).Warn("death of an upstream is not known to the other VMs")
			}
		}
	}
}
