package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/selection"
)

const (
	// maxAnswer bounds the body of an answer in bytes, because it is held in memory until it is whole.
	maxAnswer = 16 << 20
	// hedgeShare is the share of a rule's target after which an idempotent request is sent to a second upstream: late
	// enough for most requests to have ended, early enough for the second one to end in time.
	hedgeShare = 0.5
	// minHedgeDelay bounds the delay of a hedge for rules with short targets.
	minHedgeDelay = 40 * time.Millisecond
)

// Forwarder forwards requests. It serves many goroutines.
type Forwarder struct {
	config Config
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	return &Forwarder{config: c}
}

// ended is the end of one attempt.
type ended struct {
	index  int
	result exchange.Result
	took   time.Duration
}

// run is one request on its way.
type run struct {
	*Forwarder
	job      Job
	attempts []Attempt
	// open is the number of attempts in progress.
	open  int
	ended chan ended
	// last is the outcome of the latest attempt that ended without being final.
	last outcome.Outcome
	// ctx is that of the attempts, which outlive the caller's. abort ends it: with attempts in progress only if the caller
	// of an idempotent request has left.
	ctx   context.Context
	abort context.CancelFunc
}

// Serve forwards the request and returns its outcome. The end of ctx means that the caller has left.
//
// Attempts that lose against another one run to their end: their upstreams work on them in any case, and a connection
// that is closed meanwhile costs a new one.
func (f *Forwarder) Serve(ctx context.Context, j Job) Result {
	if f.config.Quarantine != nil && f.config.Quarantine.IsQuarantined(j.Request) {
		return Result{Outcome: outcome.NotRun{Reason: outcome.Quarantined}}
	}
	f.config.Retries.Offer(j.Request.Service)
	r := &run{Forwarder: f, job: j, ended: make(chan ended, max(j.Rule.Attempts, 1))}
	r.ctx, r.abort = context.WithDeadline(context.WithoutCancel(ctx), j.Request.Deadline)
	out := r.serve(ctx)
	return Result{Outcome: out, Attempts: r.attempts}
}

func (r *run) serve(ctx context.Context) outcome.Outcome {
	c, refused := r.acquire(ctx)
	if refused != nil {
		r.abort()
		return refused
	}
	r.send(c, false)
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	deadline := time.NewTimer(time.Until(r.job.Request.Deadline))
	defer deadline.Stop()
	for {
		select {
		case e := <-r.ended:
			if out := r.take(e); out != nil {
				r.finish()
				return out
			}
		case <-hedge.C:
			r.hedge()
		case <-deadline.C:
			r.finish()
			return outcome.Unknown{Reason: outcome.Timeout, Detail: "no answer by the deadline"}
		case <-ctx.Done():
			return r.left()
		}
	}
}

// left ends a request whose caller has left. Work that may be repeated is cancelled; other work is finished, because
// nobody could tell how far it came.
func (r *run) left() outcome.Outcome {
	if r.job.Rule.Idempotent {
		r.abort()
	} else {
		r.finish()
	}
	return outcome.Unknown{Reason: outcome.Cancelled, Detail: "caller left"}
}

// finish lets the attempts in progress end on their own.
func (r *run) finish() {
	if r.open == 0 {
		r.abort()
		return
	}
	open, ends, abort := r.open, r.ended, r.abort
	go func() {
		for range open {
			<-ends
		}
		abort()
	}()
}

// take records the end of an attempt and returns the final outcome, or nil if another attempt is in progress.
func (r *run) take(e ended) outcome.Outcome {
	r.open--
	a := &r.attempts[e.index]
	a.Took, a.Class = e.took, e.result.Class
	if answer, ok := e.result.Outcome.(outcome.Answered); ok {
		a.Status = answer.Status
		if answer.Status < http.StatusInternalServerError {
			r.config.Times.Add(r.job.Rule, a.Took, a.expected)
		}
		if answer.Status < http.StatusInternalServerError || !r.job.Rule.Idempotent {
			return answer
		}
	}
	r.keep(e.result.Outcome)
	if r.open == 0 && r.mayFollow(e.result) {
		r.follow()
	}
	if r.open > 0 {
		return nil
	}
	return r.last
}

// follow sends the request again after an attempt that ended without an answer.
func (r *run) follow() {
	c := r.choose(true)
	if c != nil && selection.Free(c.Candidate) > 0 && r.config.Retries.Take(r.job.Request.Service, false) {
		r.send(c, false)
	}
}

// keep remembers the outcome that the caller is told if no attempt succeeds. What an upstream answered comes before
// what is not known, and that before what did not run: a later attempt that did not run doesn't undo an earlier one.
func (r *run) keep(out outcome.Outcome) {
	if r.last == nil || rank(out) >= rank(r.last) {
		r.last = out
	}
}

func rank(out outcome.Outcome) int {
	switch out.(type) {
	case outcome.Answered:
		return 2
	case outcome.Unknown:
		return 1
	default:
		return 0
	}
}

// mayFollow tells whether the request may be sent again after the result.
func (r *run) mayFollow(res exchange.Result) bool {
	if len(r.attempts) >= r.job.Rule.Attempts || !time.Now().Before(r.job.Request.Deadline) {
		return false
	}
	if _, notRun := res.Outcome.(outcome.NotRun); notRun {
		return true
	}
	// A request under which an upstream died may be what killed it.
	return r.mayRepeat() && res.Class != exchange.Died
}

// mayRepeat tells whether the request may be sent again although it may have run.
func (r *run) mayRepeat() bool {
	return r.job.Rule.Idempotent && len(r.attempts) < r.job.Rule.Attempts
}

func (r *run) hedgeDelay() time.Duration {
	if !r.job.Rule.Idempotent || r.job.Rule.Target <= 0 {
		return time.Until(r.job.Request.Deadline)
	}
	return max(time.Duration(hedgeShare*float64(r.job.Rule.Target)), minHedgeDelay) - time.Since(r.job.Arrived)
}

// hedge sends the request to a second upstream that is expected to be faster than the first one from now on.
func (r *run) hedge() {
	if !r.mayRepeat() || r.open == 0 {
		return
	}
	c := r.choose(true)
	if c == nil || c.cost > poorCost || selection.Free(c.Candidate) == 0 || len(r.ended) > 0 {
		return
	}
	if r.config.Retries.Take(r.job.Request.Service, true) {
		r.send(c, true)
	}
}

// send starts an attempt.
func (r *run) send(c *choice, hedge bool) {
	now := time.Now()
	up := c.Upstream
	index := len(r.attempts)
	r.attempts = append(r.attempts, Attempt{
		Upstream: up, Near: c.Near, Load: c.Condition.Load, LoadAge: c.Condition.Age, Failing: c.Condition.Failing,
		Cost: c.cost, Started: now.Sub(r.job.Arrived), Hedge: hedge,
		expected: c.time,
	})
	r.open++
	r.config.Conditions.Begin(up.ID, now)
	job, ctx, ends := r.job, r.ctx, r.ended
	go func() {
		began := time.Now()
		res := r.config.Upstreams.Do(ctx, job.Request, declaration.Upstream{Name: up.ID, Address: up.Address}, maxAnswer)
		r.observe(up, res)
		ends <- ended{index: index, result: res, took: time.Since(began)}
	}()
}

// observe enters what a result tells of its upstream.
func (r *run) observe(up roster.Upstream, res exchange.Result) {
	now := time.Now()
	failed := false
	switch res.Class {
	case exchange.Answered:
		failed = res.Outcome.(outcome.Answered).Status >= http.StatusInternalServerError
		if r.config.Quarantine != nil {
			r.config.Quarantine.Answered(r.job.Request)
		}
	case exchange.Refused, exchange.Lost, exchange.Truncated, exchange.Mismatched, exchange.TimedOut:
		failed = true
	case exchange.Died:
		failed = true
		if r.config.Quarantine != nil {
			r.config.Quarantine.Died(r.job.Request, up)
		}
	case exchange.Unsent:
		failed = true
		r.config.Conditions.Miss(up.ID, now)
	case exchange.Cancelled:
	}
	r.config.Conditions.End(up.ID, failed, now)
	if res.HasLoad {
		r.config.Conditions.Report(up.ID, res.Load, true, now)
	}
}
