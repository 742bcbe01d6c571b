package route

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/dispatch"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/quarantine"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/stateconv"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// maxAttempts is the largest number of attempts of one request at its home.
const maxAttempts = 2

// activeRequest is the state of one request in a group that this VM serves.
type activeRequest struct {
	router      *Router
	group       *plan.Group
	dispatcher  *dispatch.Dispatcher
	request     *request.Request
	fingerprint uint64
	ticket      dispatch.Ticket
	attempts    int
	// waitTime is the time spent waiting for a slot, an upstream or another home.
	waitTime time.Duration
	// lostReason is the reason of an earlier attempt that may have run, or empty.
	lostReason outcome.Reason
	// notRunReason is the reason of the last attempt that did not run, or empty.
	notRunReason outcome.Reason
}

// origin is the way in which a request came to a group that this VM serves.
type origin int

const (
	// queued requests wait for a slot.
	queued origin = iota
	// spilled requests come from another home and run at once or not at all.
	spilled
	// repeated requests may already have run elsewhere and draw on the retry budget.
	repeated
)

// runInGroup runs the request in a group that this VM serves.
func (r *Router) runInGroup(ctx context.Context, g *plan.Group, req *request.Request, from origin) outcome.Outcome {
	a := &activeRequest{
		router: r, group: g, dispatcher: r.config.Groups.Get(g), request: req, fingerprint: req.Fingerprint(),
		ticket: dispatch.Ticket{Request: req, NoWait: from == spilled, NoSpill: from == spilled, Retry: from == repeated},
	}
	if from == repeated {
		a.attempts = 1
	}
	began := time.Now()
	defer func() { r.config.Metrics.Class(req.Tenant, req.Class).Added(time.Since(began) - a.waitTime) }()
	for {
		switch r.config.Suspects.Level(a.fingerprint, time.Now()) {
		case quarantine.Quarantined:
			return a.refuse(outcome.Quarantined)
		case quarantine.Suspect:
			a.ticket.Suspect = true
		}
		if out := a.attempt(ctx); out != nil {
			return out
		}
	}
}

// attempt acquires one grant and acts on it. It returns the outcome, or nil if another grant has to be acquired.
func (a *activeRequest) attempt(ctx context.Context) outcome.Outcome {
	metrics := a.router.config.Metrics.Class(a.request.Tenant, a.request.Class)
	enqueued := time.Now()
	grant := a.dispatcher.Acquire(ctx, a.ticket)
	waited := time.Since(enqueued)
	metrics.Waited(waited)
	a.waitTime += waited
	switch g := grant.(type) {
	case dispatch.Assigned:
		return a.exchange(ctx, g)
	case dispatch.Spill:
		metrics.Spill()
		return a.spill(ctx, g, enqueued)
	case dispatch.Refused:
		return a.refuse(g.Reason)
	default:
		panic("route: grant of an unknown type")
	}
}

// refuse ends a request that gets no further attempt.
func (a *activeRequest) refuse(reason outcome.Reason) outcome.Outcome {
	switch {
	case a.lostReason != "":
		return outcome.Unknown{Reason: a.lostReason, Detail: "no retry: " + string(reason)}
	case a.notRunReason != "":
		return outcome.NotRun{Reason: a.notRunReason}
	default:
		return outcome.NotRun{Reason: reason}
	}
}

// exchange sends the request to the upstream that it is assigned to.
func (a *activeRequest) exchange(ctx context.Context, b dispatch.Assigned) outcome.Outcome {
	began := time.Now()
	a.attempts++
	res := a.router.config.Upstreams.Do(ctx, a.request, b.Upstream, a.group.Service.MaxAnswer)
	now := time.Now()
	a.waitTime += now.Sub(began)
	a.dispatcher.Release(b, dispatch.Result{
		Class: classOf(res), State: stateconv.OfResponse(res.State), ServiceTime: now.Sub(began),
		Load: dispatch.Load{Running: res.Load.Running, Waiting: res.Load.Waiting, Slots: res.Load.Slots},
	})
	a.observe(b.Upstream.Name, res, now)
	switch res.Class {
	case exchange.Answered:
		return res.Outcome
	case exchange.Refused, exchange.Unsent:
		return a.retryNotRun(b.Upstream.Name, res)
	default:
		return a.retryLost(b.Upstream.Name, res)
	}
}

// observe reports what the result shows about the health of the upstream and about the request.
func (a *activeRequest) observe(name string, res exchange.Result, now time.Time) {
	c := a.router.config
	switch res.Class {
	case exchange.Answered:
		c.Groups.Answered(a.request.Service, name, now)
		if a.ticket.Suspect {
			c.Suspects.Answered(a.fingerprint, now)
		}
	case exchange.Died:
		c.Suspects.RecordDeath(a.fingerprint, a.request.Service, name, now)
		a.ticket.Suspect = true
	}
	if state := stateconv.OfResponse(res.State); state != upstream.NoState {
		c.Observed(a.request.Service, name, state, now)
	}
}

// retryNotRun handles a request that the upstream did not run, which may be retried even if it is not idempotent.
func (a *activeRequest) retryNotRun(name string, res exchange.Result) outcome.Outcome {
	if o, ok := res.Outcome.(outcome.NotRun); ok {
		a.notRunReason = o.Reason
	}
	if a.attempts >= maxAttempts || !retryable(a.notRunReason) {
		return a.refuse(a.notRunReason)
	}
	a.retry(name)
	return nil
}

// retryable reports whether another upstream could run a request that did not run for the reason.
func retryable(reason outcome.Reason) bool {
	switch reason {
	case outcome.DeadlineUnreachable, outcome.Cancelled, outcome.BadRequest:
		return false
	default:
		return true
	}
}

// retryLost handles a request that may have run, which is retried only if it is idempotent.
func (a *activeRequest) retryLost(name string, res exchange.Result) outcome.Outcome {
	if a.request.Idempotent && a.attempts < maxAttempts && res.Class != exchange.TimedOut && res.Class != exchange.Cancelled {
		if o, ok := res.Outcome.(outcome.Unknown); ok {
			a.lostReason = o.Reason
		}
		a.retry(name)
		// The home of another group doesn't know of this attempt and might run the request twice more.
		a.ticket.NoSpill = true
		return nil
	}
	return res.Outcome
}

func (a *activeRequest) retry(exclude string) {
	a.router.config.Metrics.Class(a.request.Tenant, a.request.Class).Retry()
	a.ticket.Exclude = exclude
	a.ticket.Retry = true
	a.ticket.Enqueued = time.Time{}
}

// spill sends the request to the home of another group; if that one ran nothing, the request returns to the queue.
func (a *activeRequest) spill(ctx context.Context, s dispatch.Spill, enqueued time.Time) outcome.Outcome {
	if a.ticket.Enqueued.IsZero() {
		a.ticket.Enqueued = enqueued
	}
	target := a.router.Plan().Group(s.Group)
	if target == nil || len(target.Homes) == 0 {
		a.dispatcher.EndSpill(s, true)
		return nil
	}
	began := time.Now()
	out, peerLoad, err := a.router.send(ctx, target.Homes[0], peerpb.RunRequest_MODE_SPILL, s.Group, a.request)
	a.waitTime += time.Since(began)
	refused := err == nil && runnableHere(out)
	a.dispatcher.EndSpill(s, refused || errors.Is(err, peer.ErrUnsent))
	if err == nil {
		a.dispatcher.Report(s.Group, peerLoad.free, peerLoad.waiting, time.Now())
	}
	switch {
	case refused, errors.Is(err, peer.ErrUnsent):
		return nil
	case err == nil:
		if a.lostReason != "" {
			return afterLost(a.lostReason, out)
		}
		return out
	case a.request.Idempotent && a.attempts < maxAttempts && ctx.Err() == nil:
		a.attempts++
		a.lostReason = outcome.ConnectionLost
		a.retry("")
		a.ticket.NoSpill = true
		return nil
	default:
		return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: "the home of " + s.Group + " did not answer"}
	}
}

// runnableHere reports whether another home ran nothing for a reason that does not apply to this home.
func runnableHere(out outcome.Outcome) bool {
	o, ok := out.(outcome.NotRun)
	return ok && o.Reason != outcome.Quarantined
}

// classOf returns the class that the result of the exchange has for the upstream's health.
func classOf(res exchange.Result) upstream.Class {
	switch res.Class {
	case exchange.Answered:
		if a, ok := res.Outcome.(outcome.Answered); ok && a.Status >= http.StatusInternalServerError {
			return upstream.Failed
		}
		return upstream.Answered
	case exchange.Refused:
		return upstream.Refused
	case exchange.Unsent:
		if o, ok := res.Outcome.(outcome.NotRun); ok && o.Reason != outcome.Unreachable {
			// The request was invalid or too late; nothing was sent to the upstream.
			return upstream.Cancelled
		}
		return upstream.Unsent
	case exchange.Died:
		return upstream.Died
	case exchange.TimedOut:
		return upstream.Timeout
	case exchange.Cancelled:
		return upstream.Cancelled
	default:
		return upstream.Lost
	}
}
