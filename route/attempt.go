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
	"github.com/fulmarhitch/fulmarhitch/statement"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// maxAttempts bounds the exchanges of one request at its home.
const maxAttempts = 2

// run is the state of one request in its group.
type run struct {
	router      *Router
	group       *plan.Group
	dispatcher  *dispatch.Dispatcher
	request     *request.Request
	fingerprint uint64
	ticket      dispatch.Ticket
	attempts    int
	// away is the time spent waiting for a slot, an upstream or another home.
	away time.Duration
	// lost is the reason of an earlier attempt that may have run, or empty.
	lost outcome.Reason
	// last is the reason of the last attempt that did not run.
	last outcome.Reason
}

// manner says how a request came to this VM's group.
type manner int

const (
	// queued requests wait for a slot.
	queued manner = iota
	// spilled requests come from another home and run at once or not at all.
	spilled
	// repeated requests may have run elsewhere, so that they draw on the retry budget.
	repeated
)

// inGroup runs the request in a group that this VM serves.
func (r *Router) inGroup(ctx context.Context, g *plan.Group, req *request.Request, how manner) outcome.Outcome {
	a := &run{
		router: r, group: g, dispatcher: r.config.Groups.Get(g), request: req, fingerprint: req.Fingerprint(),
		ticket: dispatch.Ticket{Request: req, NoWait: how == spilled, NoSpill: how == spilled, Retry: how == repeated},
	}
	if how == repeated {
		a.attempts = 1
	}
	began := time.Now()
	defer func() { r.config.Metrics.Class(req.Tenant, req.Class).Added(time.Since(began) - a.away) }()
	for {
		switch r.config.Suspects.Level(a.fingerprint, time.Now()) {
		case quarantine.Quarantined:
			return a.refuse(outcome.Quarantined)
		case quarantine.Suspect:
			a.ticket.Suspect = true
		}
		if out := a.once(ctx); out != nil {
			return out
		}
	}
}

// once acts on one grant and returns the outcome, or nil if the request goes on.
func (a *run) once(ctx context.Context) outcome.Outcome {
	metrics := a.router.config.Metrics.Class(a.request.Tenant, a.request.Class)
	asked := time.Now()
	grant := a.dispatcher.Acquire(ctx, a.ticket)
	waited := time.Since(asked)
	metrics.Waited(waited)
	a.away += waited
	switch g := grant.(type) {
	case dispatch.Bound:
		return a.exchange(ctx, g)
	case dispatch.Spill:
		metrics.Spill()
		return a.spill(ctx, g, asked)
	case dispatch.Refused:
		return a.refuse(g.Reason)
	default:
		panic("route: grant of an unknown type")
	}
}

// refuse ends a request that gets no further attempt.
func (a *run) refuse(reason outcome.Reason) outcome.Outcome {
	switch {
	case a.lost != "":
		return outcome.Unknown{Reason: a.lost, Detail: "no retry: " + string(reason)}
	case a.last != "":
		return outcome.NotRun{Reason: a.last}
	default:
		return outcome.NotRun{Reason: reason}
	}
}

// exchange sends the request to the upstream that it was bound to.
func (a *run) exchange(ctx context.Context, b dispatch.Bound) outcome.Outcome {
	began := time.Now()
	a.attempts++
	res := a.router.config.Upstreams.Do(ctx, a.request, b.Upstream, a.group.Service.MaxAnswer)
	now := time.Now()
	a.away += now.Sub(began)
	a.dispatcher.Release(b, dispatch.Result{
		Class: classOf(res), State: statement.OfResponse(res.State), ServiceTime: now.Sub(began),
		Load: dispatch.Load{Running: res.Load.Running, Waiting: res.Load.Waiting, Slots: res.Load.Slots},
	})
	a.observe(b.Upstream.Name, res, now)
	switch res.Class {
	case exchange.Answered:
		return res.Outcome
	case exchange.Refused, exchange.Unsent:
		return a.retryUnrun(b.Upstream.Name, res)
	default:
		return a.retryLost(b.Upstream.Name, res)
	}
}

// observe passes on what the response tells of the upstream and of the request.
func (a *run) observe(name string, res exchange.Result, now time.Time) {
	c := a.router.config
	switch res.Class {
	case exchange.Answered:
		c.Groups.Answered(a.request.Service, name, now)
		if a.ticket.Suspect {
			c.Suspects.Answered(a.fingerprint, now)
		}
	case exchange.Died:
		c.Suspects.Died(a.fingerprint, a.request.Service, name, now)
		a.ticket.Suspect = true
	}
	if state := statement.OfResponse(res.State); state != upstream.Unstated {
		c.Observed(a.request.Service, name, state, now)
	}
}

// retryUnrun decides about a request that the upstream did not run, which may be retried whatever its kind.
func (a *run) retryUnrun(name string, res exchange.Result) outcome.Outcome {
	if o, ok := res.Outcome.(outcome.NotRun); ok {
		a.last = o.Reason
	}
	if a.attempts >= maxAttempts || !worthRetry(a.last) {
		return a.refuse(a.last)
	}
	a.retry(name)
	return nil
}

// worthRetry tells whether another upstream could run a request that did not run for the reason.
func worthRetry(reason outcome.Reason) bool {
	switch reason {
	case outcome.DeadlineUnreachable, outcome.Cancelled, outcome.BadRequest:
		return false
	default:
		return true
	}
}

// retryLost decides about a request that may have run, which is retried only if it is idempotent.
func (a *run) retryLost(name string, res exchange.Result) outcome.Outcome {
	if a.request.Idempotent && a.attempts < maxAttempts && res.Class != exchange.TimedOut && res.Class != exchange.Cancelled {
		if o, ok := res.Outcome.(outcome.Unknown); ok {
			a.lost = o.Reason
		}
		a.retry(name)
		return nil
	}
	return res.Outcome
}

func (a *run) retry(exclude string) {
	a.router.config.Metrics.Class(a.request.Tenant, a.request.Class).Retry()
	a.ticket.Exclude = exclude
	a.ticket.Retry = true
	a.ticket.Enqueued = time.Time{}
}

// spill sends the request to the home of another group; if that one ran nothing, the request returns to the queue.
func (a *run) spill(ctx context.Context, s dispatch.Spill, enqueued time.Time) outcome.Outcome {
	if a.ticket.Enqueued.IsZero() {
		a.ticket.Enqueued = enqueued
	}
	target := a.router.Plan().Group(s.Group)
	if target == nil || len(target.Homes) == 0 {
		a.dispatcher.Return(s, true)
		return nil
	}
	began := time.Now()
	out, there, err := a.router.send(ctx, target.Homes[0], peerpb.RunRequest_MODE_SPILL, s.Group, a.request)
	a.away += time.Since(began)
	refused := err == nil && isUnrun(out)
	a.dispatcher.Return(s, refused || errors.Is(err, peer.ErrUnsent))
	if err == nil {
		a.dispatcher.Report(s.Group, there.free, there.waiting, time.Now())
	}
	switch {
	case refused, errors.Is(err, peer.ErrUnsent):
		return nil
	case err == nil:
		if a.lost != "" {
			return worse(a.lost, out)
		}
		return out
	case a.request.Idempotent && a.attempts < maxAttempts && ctx.Err() == nil:
		a.attempts++
		a.lost = outcome.ConnectionLost
		a.retry("")
		a.ticket.NoSpill = true
		return nil
	default:
		return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: "the home of " + s.Group + " did not answer"}
	}
}

// isUnrun tells whether another home ran nothing for a reason that does not hold here.
func isUnrun(out outcome.Outcome) bool {
	o, ok := out.(outcome.NotRun)
	return ok && o.Reason != outcome.Quarantined
}

// classOf returns how the end of the exchange counts for the upstream's health.
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
			// The request was at fault or late; the upstream was not asked.
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
