package crash

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarhitch/fulmarhitch/quarantine"
)

const (
	// maxPendingReports bounds the queue of deaths and answers to report.
	maxPendingReports = 64
	// reportsPerSecond limits the reports of one VM, since many harmless requests may be in progress on an upstream
	// that dies.
	reportsPerSecond = 4
	// reportBurst is the number of reports that may be sent at once: the slots of one upstream.
	reportBurst = 8
	// reportTimeout bounds one report to the store.
	reportTimeout = time.Second
	// maxTries is the number of times that a report is sent if the store doesn't accept it.
	maxTries = 5
)

// Store shares deaths and answers between the VMs. Both have the fingerprints of the request, from coarse to fine, and its features.
type Store interface {
	// ReportDeath stores a death, which expires after the lifetime.
	ReportDeath(ctx context.Context, fingerprints, features []uint64, death uint64, lifetime time.Duration) error
	// ReportAnswer stores an answer, which expires after the lifetime.
	ReportAnswer(ctx context.Context, fingerprints, features []uint64, answer uint64, lifetime time.Duration) error
}

// report is the death of an upstream while it ran a request, or an answer to one.
type report struct {
	Evidence
	id       uint64
	isAnswer bool
	tries    int
}

// RunReports is the worker that sends queued deaths and answers to the store for the other VMs. It returns when ctx is done.
func (g *Guard) RunReports(ctx context.Context) {
	limiter := rate.NewLimiter(reportsPerSecond, reportBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-g.reports.Items():
			if !d.isAnswer && !g.isSuspected(d.Evidence) {
				// The request was answered meanwhile.
				continue
			}
			if limiter.Wait(ctx) != nil {
				return
			}
			if err := g.send(ctx, d); err != nil {
				d.tries++
				g.log.WithError(err).WithField("tries", d.tries).Warn("could not report a death of an upstream, or an answer, to the other VMs")
				if d.tries < maxTries {
					g.reports.Offer(d)
				}
			}
		}
	}
}

// send sends one report.
func (g *Guard) send(ctx context.Context, d report) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if d.isAnswer {
		return g.store.ReportAnswer(ctx, d.Fingerprints, d.Features, d.id, quarantine.Span)
	}
	return g.store.ReportDeath(ctx, d.Fingerprints, d.Features, d.id, quarantine.Span)
}
