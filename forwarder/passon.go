package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// isCutOff reports whether the VM reaches no upstream.
func (f *Forwarder) isCutOff() bool {
	return f.config.Contact != nil && f.config.Contact.IsLost()
}

// lostContact returns a channel that is closed when the VM loses contact with the upstreams, or nil if that isn't observed.
func (f *Forwarder) lostContact() <-chan struct{} {
	if f.config.Contact == nil {
		return nil
	}
	return f.config.Contact.Lost()
}

// canPassOn reports whether the request can be passed to another VM.
func (r *run) canPassOn() bool {
	return r.isCutOff() && r.config.Detour != nil && !r.job.Passed && !r.hasLeft() && time.Now().Before(r.job.Request.Deadline)
}

// mayPassOn reports whether the request may be passed to another VM after the outcome here. A request that may have arrived at an
// upstream then counts as a retry.
func (r *run) mayPassOn(out outcome.Outcome) bool {
	if !r.canPassOn() {
		return false
	}
	switch out.(type) {
	case outcome.NotRun:
		return !r.wasSent() || r.config.Retries.Spend(r.job.Request.Service, false)
	case outcome.Unknown:
		return r.isPaid
	default:
		return false
	}
}

// payPassOn takes from the retry budget that an idempotent request in progress is passed to another VM, and reports whether it may
// be. A non-idempotent one may still be answered when the contact is back.
func (r *run) payPassOn() bool {
	r.isPaid = r.job.Rule.Idempotent && r.canPassOn() && r.config.Retries.Spend(r.job.Request.Service, false)
	return r.isPaid
}

// wasSent reports whether an attempt may have arrived at an upstream.
func (r *run) wasSent() bool {
	for _, a := range r.attempts {
		if a.Class != exchange.Unsent {
			return true
		}
	}
	return false
}

// passOn passes the request to another VM and returns the outcome of all attempts, or the answer of an earlier attempt in progress if
// that comes first.
func (r *run) passOn(ctx context.Context) outcome.Outcome {
	passed := len(r.attempts)
	r.attempts = append(r.attempts, Attempt{Started: time.Since(r.job.Arrived)})
	r.inFlight++
	job, attemptCtx, results, transport := r.job, r.ctx, r.results, r.config.Detour
	go func() {
		began := time.Now()
		res := transport.DoFor(attemptCtx, ctx, job.Request, job.RulesVersion, maxAnswerBytes)
		results <- attemptResult{index: passed, result: res.Result, took: time.Since(began), vm: res.VM, upstream: res.Upstream}
	}()
	return r.await(ctx, nil, nil, func(res attemptResult) outcome.Outcome {
		answer, isAnswered := r.record(res)
		if res.index == passed {
			r.recordPassed(res)
			r.updateFallback(res.result.Outcome)
			return r.fallback
		}
		if isAnswered && answer.Status < http.StatusInternalServerError {
			return answer
		}
		return nil
	})
}

// recordPassed records the result of a passed request. Of what the upstream states, only that it leaves concerns this VM too.
func (r *run) recordPassed(res attemptResult) {
	a := &r.attempts[res.index]
	a.VM, a.Upstream = res.vm, res.upstream
	if res.result.Notice.Leaving && res.upstream.ID != "" {
		r.config.Notices.RecordLeaving(res.upstream)
	}
}
