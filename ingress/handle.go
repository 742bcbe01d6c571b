package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/admission"
	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/keepalive"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
	"github.com/fulmarhitch/fulmarhitch/telemetry"
)

const (
	// defaultTimeout is the time for which a caller is assumed to wait if it states no deadline.
	defaultTimeout = 30 * time.Second
	// maxTimeout bounds the deadline that a caller states.
	maxTimeout = 10 * time.Minute
	// unreadBodyTimeout bounds the read of a body that is not needed, because its request is refused. The HTTP server reads it
	// to keep the connection.
	unreadBodyTimeout = time.Second
	// unreadTime is the time from which on an answer of at least minExposed bytes that its caller has not read may be cut off if the
	// memory for bodies is used up.
	unreadTime = time.Second
	minExposed = 64 << 10
	// retryAfterRefusal is the delay for a request that others may accept: an upstream refused it and this VM's share of the
	// retries and hedges was used up, or this VM stops.
	retryAfterRefusal = 30 * time.Millisecond
	// retryAfterOverload is the delay after which an upstream may have a free slot, because a short slowdown of its host lasts
	// about 500 ms.
	retryAfterOverload = 150 * time.Millisecond
	// retryAfterUnready is the delay after which a VM without rules or upstreams may have some.
	retryAfterUnready = 500 * time.Millisecond
)

// errorResponse is an answer that the VM itself gives instead of an upstream.
type errorResponse struct {
	status int
	text   string
	// retryAfter is the delay after which the caller may try again, or 0.
	retryAfter time.Duration
	// isUntried reports that the request was not sent to any upstream, so that a VM that passed it on may ask another one.
	isUntried bool
	// reason is the reason of a refusal in metrics, or empty if its status tells enough.
	reason string
	// outcome is the outcome that the answer tells a VM that passed the request on, or empty.
	outcome string
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.inProgress.Add(1)
	s.lastArrival.Store(int64(arrived.Sub(s.start)))
	defer s.inProgress.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	} else if set := s.config.Rules(); set != nil {
		keepalive.Announce(r, w.Header(), set.Limits.IdleTimeout)
	}
	if r.Body != http.NoBody {
		s.setReadDeadline(w, arrived.Add(unreadBodyTimeout))
	}
	s.awaitRules(r, arrived)
	job, from, resp := s.admit(w, r, arrived)
	if job.Request != nil {
		defer s.config.Bodies.Take(int64(len(job.Request.Body))).Close()
	}
	if resp != nil {
		s.takeBack(from, outcome.NotRun{})
		s.refuse(w, r, from, resp)
		return
	}
	res := s.config.Forwarder.Serve(r.Context(), job)
	took := time.Since(arrived)
	s.takeBack(from, res.Outcome)
	s.countOrganisation(from.Organisation, outcomeName(res.Outcome))
	s.config.Metrics.Done(job.Rule.Name, res.Outcome, took)
	for _, a := range res.Attempts {
		s.config.Metrics.Attempt(job.Rule.Name, string(a.Class), a.Hedge)
	}
	if res.LeftTo != admission.NoOrder {
		s.config.Metrics.LeftSlot(job.Rule.Name, string(res.LeftTo))
	}
	s.logRequest(job, res, took)
	if job.Passed {
		setUpstream(w.Header(), res.Attempts)
	}
	s.writeOutcome(w, r, res.Outcome)
}

// admit reads the request and finds its rule, or returns the error response if the request can't be forwarded.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, arrived time.Time) (job forwarder.Job, from principal, resp *errorResponse) {
	ages := s.ages()
	set := s.config.Rules()
	if set == nil || s.refusing.Load() {
		return job, from, untried("not-ready: no rules are known, or the VM stops", retryAfterUnready)
	}
	isPassed, resp := s.checkPassed(r, set)
	if resp != nil {
		return job, from, resp
	}
	id := r.Header.Get(s.config.Dialect.RequestID)
	if id == "" {
		return job, from, &errorResponse{status: http.StatusBadRequest, text: "header " + s.config.Dialect.RequestID + " is missing"}
	}
	if n := set.Limits.HeaderBytes; n > 0 && headerSize(r) > n {
		return job, from, &errorResponse{status: http.StatusRequestHeaderFieldsTooLarge, text: "headers exceed " + strconv.FormatInt(n, 10) + " bytes"}
	}
	target, path, ok := originForm(r)
	if !ok {
		return job, from, &errorResponse{status: http.StatusBadRequest, text: "request target " + strconv.Quote(r.RequestURI) + " is neither a path nor an http URL"}
	}
	rule := set.Find(r.Host, path)
	if rule == nil && s.config.RulesAge() > s.config.MaxRulesAge {
		return job, from, untried("not-ready: no rule for this host and path, and newer rules may exist", retryAfterUnready)
	}
	if rule == nil {
		return job, from, &errorResponse{status: http.StatusNotFound, text: "no rule for host " + strconv.Quote(r.Host) + " and this path"}
	}
	if from, resp = s.identify(r, set, rule, ages, isPassed); resp != nil {
		return job, from, resp
	}
	deadline, resp := s.deadline(r, rule, arrived)
	if resp != nil {
		return job, from, resp
	}
	if s.endsBefore(deadline) {
		return job, from, untried("stopping: the VM ends before the deadline", retryAfterRefusal)
	}
	if resp = s.admitWithinLimit(&from, rule, deadline.Sub(arrived), time.Now()); resp != nil {
		return job, from, resp
	}
	body, resp := s.readBody(w, r, set, deadline)
	if resp != nil {
		// The rest of the body is not read, so the connection can't carry another request.
		w.Header().Set("Connection", "close")
		return job, from, resp
	}
	service := s.config.Pick(rule)
	return forwarder.Job{
		Request: &request.Request{
			ID: id, Service: service, Kind: rule.Name, Class: rule.Name, Host: r.Host, Method: r.Method,
			Path: target, Header: r.Header, Body: body, Deadline: deadline, Idempotent: rule.Idempotent,
			Caller: callerOf(r, isPassed), AttemptHeaders: s.attemptHeaders,
			Organisation: from.name(), HasOrganisations: set.Organisations != nil,
		},
		Rule: rule, Priority: from.priority(rule), HealthPath: set.Services[service].HealthPath, Arrived: arrived,
		HasLeft:      func() bool { return keepalive.HasLeft(r.Context()) },
		RulesVersion: set.Version, Passed: isPassed,
	}, from, nil
}

// deadline returns the deadline of the request: the one that the caller states, but no later than the timeout of the rule, which may be
// nil.
func (s *Server) deadline(r *http.Request, rule *ruleset.Rule, arrived time.Time) (time.Time, *errorResponse) {
	timeout := defaultTimeout
	if text := r.Header.Get(s.config.Dialect.Deadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if errors.Is(err, strconv.ErrRange) {
			// The number is the largest or the smallest one of the type then.
			err = nil
		}
		if err != nil || ms < 0 {
			return time.Time{}, &errorResponse{status: http.StatusBadRequest, text: "header " + s.config.Dialect.Deadline + " is no number of ms"}
		}
		timeout = min(time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond, maxTimeout)
	}
	if rule != nil && rule.Timeout > 0 {
		timeout = min(timeout, rule.Timeout)
	}
	return arrived.Add(timeout), nil
}

// readBody reads the whole body within the limits.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, set *ruleset.Set, deadline time.Time) ([]byte, *errorResponse) {
	limit := int64(maxBodyBytes)
	if n := set.Limits.BodyBytes; n > 0 {
		limit = min(limit, n)
	}
	if r.ContentLength > limit {
		return nil, &errorResponse{status: http.StatusRequestEntityTooLarge, text: "body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, nil
	}
	// A caller that sends slowly may occupy the connection no longer than it would wait for an answer.
	s.setReadDeadline(w, deadline)
	control := http.NewResponseController(w)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	hold := s.config.Bodies.Open(r.Header.Get(s.config.Dialect.RequestID), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer hold.Close()
	body, err := buffer.Read(ctx, r.Body, limit, hold)
	switch {
	case errors.Is(err, buffer.ErrTooLarge):
		return nil, &errorResponse{status: http.StatusRequestEntityTooLarge, text: "body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
	case errors.Is(err, buffer.ErrEvicted):
		return nil, untried("too-large: no room for the body", retryAfterUnready)
	case err != nil:
		return nil, &errorResponse{status: http.StatusBadRequest, text: "body: " + err.Error()}
	}
	s.setReadDeadline(w, time.Time{})
	return body, nil
}

// setReadDeadline bounds the read of the request's body; the zero time removes the bound.
func (s *Server) setReadDeadline(w http.ResponseWriter, t time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(t); err != nil {
		s.config.Log.WithError(err).Warn("failed to set the read deadline for a request body")
	}
}

// headerSize returns the approximate size of the request line and the headers in bytes. It is at most what the caller sent, so that a
// caller within the limit isn't refused.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\n")
		}
	}
	return int64(n)
}

// writeOutcome sends the outcome of the request.
func (s *Server) writeOutcome(w http.ResponseWriter, r *http.Request, out outcome.Outcome) {
	switch out := out.(type) {
	case outcome.Answered:
		if s.config.Dialect.PromisesNotRun(out.Status) {
			s.config.Metrics.Promised(out.Status, telemetry.FromUpstream)
		}
		h := w.Header()
		for name, values := range out.Header {
			h[name] = values
		}
		if h["Content-Type"] == nil {
			// A nil entry keeps the HTTP server from detecting the content type.
			h["Content-Type"] = nil
		}
		w.WriteHeader(out.Status)
		s.writeBody(w, r, out.Body)
	case outcome.NotRun:
		s.writeError(w, r, errorResponse{
			status: statusOf(out), text: string(out.Reason), retryAfter: retryDelay(out), isUntried: out.Reason == outcome.CutOff, outcome: header.NotRun,
		})
	case outcome.Unknown:
		if out.Reason == outcome.Cancelled {
			// The caller no longer waits for an answer.
			panic(http.ErrAbortHandler)
		}
		s.writeError(w, r, errorResponse{status: statusOf(out), text: string(out.Reason), outcome: header.Unknown})
	}
}

// writeBody writes the body of an answer, which may be cut off if its caller doesn't read it.
func (s *Server) writeBody(w http.ResponseWriter, r *http.Request, body []byte) {
	hold := s.config.Bodies.Take(int64(len(body)))
	defer hold.Close()
	if len(body) >= minExposed {
		unread := time.AfterFunc(unreadTime, func() {
			hold.Expose(r.Header.Get(s.config.Dialect.RequestID), func() { keepalive.Break(r.Context()) })
		})
		defer unread.Stop()
	}
	// An error means that the caller disconnected, which also cancels the request's context, or that the body was cut off.
	_, _ = w.Write(body)
}

// statusOf returns the status that tells the outcome, or 0 if its caller is told nothing. Status 503 states that the request did not run;
// 502 and 504 state that it is unknown whether it ran.
func statusOf(out outcome.Outcome) int {
	switch out := out.(type) {
	case outcome.Answered:
		return out.Status
	case outcome.NotRun:
		return http.StatusServiceUnavailable
	case outcome.Unknown:
		switch out.Reason {
		case outcome.Cancelled:
			return 0
		case outcome.Timeout:
			return http.StatusGatewayTimeout
		default:
			return http.StatusBadGateway
		}
	}
	return 0
}

// retryDelay returns the delay after which the caller may repeat a request that did not run.
func retryDelay(out outcome.NotRun) time.Duration {
	if out.RetryAfter > 0 {
		return out.RetryAfter
	}
	switch out.Reason {
	case outcome.Refused:
		return retryAfterRefusal
	case outcome.NoUpstream, outcome.CutOff:
		return retryAfterUnready
	default:
		return retryAfterOverload
	}
}

// refuse logs and answers a request that is not forwarded.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, from principal, resp *errorResponse) {
	s.config.Metrics.Refused(resp.status)
	if resp.reason != "" {
		s.config.Metrics.IdentityRefused(resp.reason)
	}
	s.countOrganisation(from.Organisation, "refused")
	fields := logrus.Fields{
		"request": r.Header.Get(s.config.Dialect.RequestID), "host": r.Host, "status": resp.status, "reason": resp.text,
	}
	if from.Organisation != nil {
		fields["organisation"] = from.name()
	}
	s.config.Log.WithFields(fields).Info("request refused")
	s.writeError(w, r, *resp)
}

// writeError sends an error response.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, resp errorResponse) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if id := r.Header.Get(s.config.Dialect.RequestID); id != "" {
		h.Set(s.config.Dialect.RequestID, id)
	}
	if resp.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if resp.retryAfter > 0 {
		// Jitter keeps callers that were refused at the same time from retrying at the same time.
		after := resp.retryAfter.Seconds() * (0.75 + 0.5*rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat(after, 'f', 3, 64))
	}
	if r.Header.Get(header.Detour) != "" {
		tellVM(h, resp)
	}
	if s.config.Dialect.PromisesNotRun(resp.status) {
		s.config.Metrics.Promised(resp.status, telemetry.FromVM)
	}
	w.WriteHeader(resp.status)
	// An error means that the caller disconnected.
	_, _ = io.WriteString(w, resp.text+"\n")
}

// logRequest logs the end of a request that was forwarded.
func (s *Server) logRequest(j forwarder.Job, res forwarder.Result, took time.Duration) {
	fields := logrus.Fields{
		"request": j.Request.ID, "rule": j.Rule.Name, "service": j.Request.Service, "took-ms": took.Milliseconds(),
		"left-ms": time.Until(j.Request.Deadline).Milliseconds(), "rules-age-ms": s.config.RulesAge().Milliseconds(),
		"attempts": attemptFields(res.Attempts),
	}
	if j.Request.Organisation != "" {
		fields["organisation"] = j.Request.Organisation
	}
	if res.LeftTo != admission.NoOrder {
		fields["left-slot-to"] = string(res.LeftTo)
	}
	if status := statusOf(res.Outcome); status != 0 {
		fields["status"] = status
	}
	fields["outcome"] = outcomeName(res.Outcome)
	switch out := res.Outcome.(type) {
	case outcome.Answered:
	case outcome.NotRun:
		fields["reason"], fields["detail"] = out.Reason, out.Detail
	case outcome.Unknown:
		fields["reason"], fields["detail"] = out.Reason, out.Detail
	}
	s.config.Log.WithFields(fields).Info("request ended")
}

// outcomeName returns the name of the outcome in logs and metrics.
func outcomeName(out outcome.Outcome) string {
	switch out.(type) {
	case outcome.Answered:
		return "answered"
	case outcome.NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// attemptFields returns the log fields of the attempts of a request.
func attemptFields(all []forwarder.Attempt) []map[string]any {
	var list []map[string]any
	for _, a := range all {
		fields := map[string]any{
			"upstream": a.Upstream.ID, "near": a.Near, "at-ms": a.Started.Milliseconds(), "took-ms": a.Took.Milliseconds(),
			"end": string(a.Class), "status": a.Status, "hedge": a.Hedge, "cost": float64(int(a.Cost*100)) / 100,
			"running": a.Load.Running, "waiting": a.Load.Waiting, "slots": a.Load.Slots, "slowdown": a.Load.Slowdown,
			"report-age-ms": a.LoadAge.Milliseconds(), "failing": float64(int(a.FailureRate*100)) / 100,
		}
		if a.Status != 0 {
			fields["stamped"], fields["states-not-run"] = a.IsStamped, a.StatesNotRun
		}
		if a.VM != "" {
			fields["vm"] = a.VM
		}
		if a.HasLimit {
			fields["limit"] = a.Limit
		}
		list = append(list, fields)
	}
	return list
}
