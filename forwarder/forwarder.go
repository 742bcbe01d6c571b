package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarhitch/fulmarhitch/admission"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/domaincost"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/scarcity"
	"github.com/fulmarhitch/fulmarhitch/selection"
)

const (
	// maxAnswerBytes bounds the body of an answer, because it is held in memory until it is complete.
	maxAnswerBytes = 16 << 20
	// hedgeShare is the share of a rule's target time after which an idempotent request is sent to a second upstream: late
	// enough for most requests to have ended, early enough for the second attempt to end in time.
	hedgeShare = 0.5
	// overdueFactor is the multiple of its expected time after which an attempt is overdue. Before that, a hedge would mostly
	// end after it.
	overdueFactor = 1.25
	// minHedgeDelay is the minimum delay of a hedge, for rules with short target times.
	minHedgeDelay = 40 * time.Millisecond
	// maxInFlight is the largest number of attempts of one request in progress at a time: one, its hedge, and that at another VM. A
	// retry begins only after the attempts before it have ended. A rule may allow any number of attempts.
	maxInFlight = 3
)

// Forwarder forwards requests to upstreams. It is safe for concurrent use.
type Forwarder struct {
	config Config
}

// New returns a forwarder with the given configuration.
func New(c Config) *Forwarder {
	if c.DomainCosts == nil {
		c.DomainCosts = domaincost.New()
	}
	if c.Scarcity == nil {
		c.Scarcity = scarcity.New()
	}
	return &Forwarder{config: c}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	index  int
	result exchange.Result
	took   time.Duration
	// vm is the VM that the request was passed to, or empty, and upstream is the one that answered there.
	vm       string
	upstream roster.Upstream
}

// run is the state of one request while it is being forwarded.
type run struct {
	*Forwarder
	job      Job
	attempts []Attempt
	// sampled holds the candidates among which the latest choice was made.
	sampled []selection.Candidate
	// blocked is what keeps this VM from sending to the upstreams without a quota at present.
	blocked blockage
	// isHeld reports whether the warm-up rate of a cold upstream has kept the request from it.
	isHeld bool
	// elapsed is the time from the caller's first attempt to the arrival, or 0 if the request has not been refused before.
	elapsed time.Duration
	// leftTo tells to which requests it left a slot last.
	leftTo admission.Order
	// inFlight is the number of attempts in progress.
	inFlight int
	// results has room for the results of all attempts in progress, so that none of them waits for a receiver.
	results chan attemptResult
	// isPaid reports whether the retry budget covers that the request is passed to another VM after it may have arrived at an
	// upstream.
	isPaid bool
	// fallback is the outcome to return if no attempt succeeds.
	fallback outcome.Outcome
	// ctx is the context of the attempts, which may outlive the caller's. abort cancels it; it is called while attempts
	// are in progress only if the caller of an idempotent request has disconnected.
	ctx   context.Context
	abort context.CancelFunc
	// caller is done once the caller has left.
	caller context.Context
}

// Serve forwards the request and returns its outcome. Cancellation of ctx means that the caller has disconnected.
//
// Attempts that are still in progress when another one has decided the outcome are not cancelled: their upstreams work on
// them in any case, and closing the connection would only require a new one.
func (f *Forwarder) Serve(ctx context.Context, j Job) Result {
	if f.config.Quarantine != nil && f.config.Quarantine.IsQuarantined(j.Request) {
		return Result{Outcome: outcome.NotRun{Reason: outcome.Quarantined}}
	}
	r := &run{Forwarder: f, job: j, caller: ctx, results: make(chan attemptResult, maxInFlight)}
	r.ctx, r.abort = context.WithDeadline(context.WithoutCancel(ctx), j.Request.Deadline)
	out := r.serve(ctx)
	if r.mayPassOn(out) {
		r.updateFallback(out)
		out = r.passOn(ctx)
	} else if _, notRun := out.(outcome.NotRun); notRun && r.isCutOff() && !r.wasSent() {
		// A VM that passed the request on may ask another one.
		out = outcome.NotRun{Reason: outcome.CutOff}
	}
	r.release()
	return Result{Outcome: out, Attempts: r.attempts, LeftTo: r.leftTo}
}

// serve sends the request to upstreams.
func (r *run) serve(ctx context.Context) outcome.Outcome {
	if r.isCutOff() {
		return outcome.NotRun{Reason: outcome.CutOff}
	}
	r.config.Retries.Earn(r.job.Request.Service)
	r.elapsed = r.config.Times.Elapsed(r.job.Rule, r.job.Request.Deadline.Sub(r.job.Arrived))
	r.config.Pressure.shares.Offer(r.job.Request.Service, r.job.Request.Organisation, time.Now())
	c, refused := r.acquire(ctx)
	if refused != nil {
		return refused
	}
	r.config.Pressure.shares.Serve(r.job.Request.Service, r.job.Request.Organisation, time.Now())
	r.send(c, false)
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	return r.await(ctx, hedge.C, r.lostContact(), r.handleResult)
}

// await passes the results of the attempts in progress to handle until it returns an outcome, and returns that, or the outcome of the
// deadline or of the caller's leaving. The channels hedge and lost, which may be nil, tell when to hedge and that the VM has lost
// contact with the upstreams.
func (r *run) await(ctx context.Context, hedge <-chan time.Time, lost <-chan struct{}, handle func(attemptResult) outcome.Outcome) outcome.Outcome {
	deadline := time.NewTimer(time.Until(r.job.Request.Deadline))
	defer deadline.Stop()
	for {
		select {
		case <-lost:
			lost = nil
			if r.payPassOn() {
				return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: "contact with the upstreams was lost"}
			}
		case res := <-r.results:
			if out := handle(res); out != nil {
				return out
			}
		case <-hedge:
			r.hedge()
		case <-deadline.C:
			return outcome.Unknown{Reason: outcome.Timeout, Detail: "no answer by the deadline"}
		case <-ctx.Done():
			return outcome.Unknown{Reason: outcome.Cancelled, Detail: "caller left"}
		}
	}
}

// release releases the context of the attempts: at once if none is in progress, or if the caller of an idempotent request has left,
// else when they have ended. It could not be determined how far a cancelled attempt had come.
func (r *run) release() {
	if r.inFlight == 0 || r.job.Rule.Idempotent && r.caller.Err() != nil {
		r.abort()
		return
	}
	inFlight, results, abort := r.inFlight, r.results, r.abort
	go func() {
		for range inFlight {
			<-results
		}
		abort()
	}()
}

// record records the end of an attempt and returns its answer, if there is one.
func (r *run) record(res attemptResult) (answer outcome.Answered, ok bool) {
	r.inFlight--
	a := &r.attempts[res.index]
	a.Took, a.Class = res.took, res.result.Class
	a.Status, a.IsStamped, a.StatesNotRun = res.result.Status, res.result.IsStamped, res.result.StatesNotRun
	answer, ok = res.result.Outcome.(outcome.Answered)
	return answer, ok
}

// handleResult records the result of an attempt and returns the final outcome, or nil if another attempt is in progress.
func (r *run) handleResult(res attemptResult) outcome.Outcome {
	if answer, ok := r.record(res); ok {
		if answer.Status < http.StatusInternalServerError {
			r.config.Times.Add(r.job.Rule, res.took, r.attempts[res.index].expectedTime)
			r.config.Times.AddSize(r.job.Rule, len(answer.Body))
		}
		if answer.Status < http.StatusInternalServerError || !r.job.Rule.Idempotent {
			return answer
		}
	}
	r.updateFallback(res.result.Outcome)
	switch {
	case r.inFlight > 0:
	case r.isWithdrawn(res):
		r.sendElsewhere()
	case r.mayRetry(res.result):
		r.retry()
	}
	if r.inFlight > 0 {
		return nil
	}
	return r.fallback
}

// hasLeft reports whether the caller has left, after which the request must not be sent.
func (r *run) hasLeft() bool {
	return r.caller.Err() != nil || r.job.HasLeft != nil && r.job.HasLeft()
}

// retry sends the request again after a failed attempt, if an upstream has a free slot and the budget allows it.
func (r *run) retry() {
	if r.isCutOff() {
		return
	}
	c := r.choose(true)
	if c != nil && !r.hasLeft() && selection.FreeSlots(c.Candidate) > 0 && r.config.Retries.Spend(r.job.Request.Service, false) && r.takeQuota(c) {
		r.send(c, false)
	}
}

// updateFallback records the outcome to return if no attempt succeeds. Answered takes precedence over Unknown, and Unknown
// over NotRun: a later attempt that did not run doesn't undo an earlier one that may have run.
func (r *run) updateFallback(out outcome.Outcome) {
	if r.fallback == nil || rank(out) >= rank(r.fallback) {
		r.fallback = out
	}
}

// rank returns the precedence of the outcome as a fallback.
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

// mayRetry reports whether the request may be sent again after the result.
func (r *run) mayRetry(res exchange.Result) bool {
	if len(r.attempts) >= r.job.Rule.Attempts || !time.Now().Before(r.job.Request.Deadline) {
		return false
	}
	if _, notRun := res.Outcome.(outcome.NotRun); notRun {
		return true
	}
	// The request may have caused the death of the upstream that ran it.
	return r.mayRunTwice() && res.Class != exchange.Died
}

// mayRunTwice reports whether the request may be sent again although an earlier attempt may have run.
func (r *run) mayRunTwice() bool {
	return r.job.Rule.Idempotent && len(r.attempts) < r.job.Rule.Attempts
}

// hedgeDelay returns the time until the hedge, which is the time until the deadline for a request that is not hedged.
func (r *run) hedgeDelay() time.Duration {
	if !r.job.Rule.Idempotent || r.job.Rule.Target <= 0 {
		return time.Until(r.job.Request.Deadline)
	}
	first := r.attempts[0]
	overdue := first.Started + time.Duration(overdueFactor*first.expectedTime*float64(r.config.Times.Usual(r.job.Rule)))
	return max(time.Duration(hedgeShare*float64(r.job.Rule.Target)), minHedgeDelay, overdue) - time.Since(r.job.Arrived)
}

// hedge sends the request to a second upstream with a free slot and an acceptable cost, which is expected to answer before
// the first one, if the budget allows it.
func (r *run) hedge() {
	if !r.mayRunTwice() || r.inFlight == 0 || r.isCutOff() {
		return
	}
	c := r.choose(true)
	if c == nil || selection.FreeSlots(c.Candidate) == 0 || len(r.results) > 0 || r.hasLeft() {
		return
	}
	usual := r.config.Times.Usual(r.job.Rule)
	expected := time.Since(r.job.Arrived) + time.Duration(c.expectedTime*float64(usual))
	if expected > r.job.Rule.Target {
		return
	}
	if r.config.Retries.Spend(r.job.Request.Service, true) && r.takeQuota(c) {
		r.send(c, true)
	}
}

// send starts an attempt.
func (r *run) send(c *choice, hedge bool) {
	now := time.Now()
	up := c.Upstream
	index := len(r.attempts)
	stated := r.config.Notices.Get(up, now)
	r.attempts = append(r.attempts, Attempt{
		Upstream: up, Near: c.Near, Load: c.Condition.Load, LoadAge: c.Condition.Age, FailureRate: c.Condition.FailureRate,
		Cost: c.cost, Started: now.Sub(r.job.Arrived), Hedge: hedge,
		Limit: stated.Limit, HasLimit: stated.HasLimit && stated.LimitEnded == 0,
		expectedTime: c.expectedTime,
	})
	r.inFlight++
	r.config.Conditions.Begin(up.ID, now)
	job, ctx, caller, results := r.job, r.ctx, r.caller, r.results
	go func() {
		began := time.Now()
		res := r.config.Transport.DoFor(ctx, caller, job.Request, declaration.Upstream{Name: up.ID, Address: up.Address}, maxAnswerBytes)
		r.observe(up, res)
		results <- attemptResult{index: index, result: res, took: time.Since(began)}
	}()
}

// observe updates the condition of the upstream and the quarantine from a result.
func (r *run) observe(up roster.Upstream, res exchange.Result) {
	now := time.Now()
	if r.config.Quarantine != nil {
		r.observeCrash(up, res.Class)
	}
	failed := false
	switch res.Class {
	case exchange.Answered:
		failed = res.Outcome.(outcome.Answered).Status >= http.StatusInternalServerError
	case exchange.Refused, exchange.Lost, exchange.Truncated, exchange.Mismatched, exchange.TimedOut, exchange.Unconfirmed, exchange.Died:
		failed = true
	case exchange.Unsent:
		failed = true
		r.config.Conditions.RecordUnreachable(up.ID, now)
	case exchange.Cancelled:
	}
	r.config.Conditions.End(up.ID, failed, now)
	if res.Class == exchange.Answered || res.Class == exchange.Refused || res.Class == exchange.Unconfirmed {
		r.config.Notices.Record(up, res.Notice, now)
	}
	if res.HasLoad {
		r.config.Conditions.Report(up.ID, res.Load, true, now)
	}
}

// observeCrash tells the quarantine what a result shows of the request and the upstream.
func (r *run) observeCrash(up roster.Upstream, class exchange.Class) {
	q := r.config.Quarantine
	switch class {
	case exchange.Answered:
		q.Heard(up)
		q.Answered(r.job.Request)
	case exchange.Refused, exchange.Unconfirmed:
		q.Heard(up)
	case exchange.Died:
		q.RecordDeath(r.job.Request, up)
	case exchange.Lost, exchange.TimedOut, exchange.Cancelled:
		q.RecordSilence(r.job.Request, up)
	}
}
