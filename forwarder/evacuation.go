package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// minEvacuatedDelay is the shortest delay after which a request of a service without any domain left may return. Operators end an
// evacuation within minutes, so a shorter one brings mostly refusals; twice of it spreads the callers.
const minEvacuatedDelay = time.Second

// noUpstream returns the outcome of a request for which there is no upstream.
func (r *run) noUpstream() outcome.NotRun {
	service := r.job.Request.Service
	if len(r.config.Roster.Usable(service)) > 0 || !r.config.Roster.IsServiceEvacuated(service) {
		return outcome.NotRun{Reason: outcome.NoUpstream}
	}
	return outcome.NotRun{Reason: outcome.Evacuated, RetryAfter: minEvacuatedDelay + rand.N(minEvacuatedDelay)}
}

// isWithdrawn reports whether the request was not sent because the upstream was evacuated while it waited for a connection, and may
// be sent elsewhere like one that has not been sent yet.
func (r *run) isWithdrawn(res attemptResult) bool {
	return res.result.Class == exchange.Unsent && res.vm == "" && !r.wasSent() && time.Now().Before(r.job.Request.Deadline) &&
		r.config.Roster.IsEvacuated(r.attempts[res.index].Upstream.ID)
}

// sendElsewhere sends a withdrawn request to another upstream. It needs no retry budget, as nothing was sent.
func (r *run) sendElsewhere() {
	c, refused := r.acquire(r.caller)
	if refused != nil {
		r.updateFallback(refused)
		return
	}
	r.send(c, false)
}
