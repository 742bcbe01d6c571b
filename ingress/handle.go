package ingress

import (
	"bytes"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

const (
	// defaultDeadline is the time that a caller without a stated deadline is taken to wait.
	defaultDeadline = 30 * time.Second
	// maxDeadline bounds a stated deadline.
	maxDeadline = 10 * time.Minute
	// returnAtOnce is the time after which a caller may return whose request an upstream refused while others may take it:
	// only this VM's part of the second sends was used up.
	returnAtOnce = 30 * time.Millisecond
	// returnSoon is the time after which a refused caller may find a free upstream: disturbances last about 500 ms.
	returnSoon = 150 * time.Millisecond
	// returnLater is the time after which a VM without rules or upstreams may have some.
	returnLater = 500 * time.Millisecond
)

// quiet returns a logger for the HTTP server, whose lines on broken connections tell nothing that the own lines don't.
func quiet() *log.Logger {
	return log.New(io.Discard, "", 0)
}

// fault is an answer of the VM itself.
type fault struct {
	status int
	text   string
	// retryAfter is the time after which the caller may come back, or 0.
	retryAfter time.Duration
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, h *http.Request) {
	arrived := time.Now()
	s.requests.Add(1)
	s.last.Store(int64(arrived.Sub(s.start)))
	defer s.requests.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	job, f := s.admit(w, h, arrived)
	if job.Request != nil {
		defer s.buffered.Add(-int64(len(job.Request.Body)))
	}
	if f != nil {
		s.refuse(w, h, f)
		return
	}
	res := s.config.Forwarder.Serve(h.Context(), job)
	took := time.Since(arrived)
	s.config.Metrics.Done(job.Rule.Name, res.Outcome, took)
	for _, a := range res.Attempts {
		s.config.Metrics.Attempt(job.Rule.Name, string(a.Class), a.Hedge)
	}
	s.record(job, res, took)
	s.reply(w, h, res.Outcome)
}

// admit reads the request and finds its rule, or returns why it is not served.
func (s *Server) admit(w http.ResponseWriter, h *http.Request, arrived time.Time) (forwarder.Job, *fault) {
	var none forwarder.Job
	set := s.config.Rules()
	if set == nil || s.closing.Load() {
		return none, &fault{http.StatusServiceUnavailable, "not-ready: no rules are known, or the VM stops", returnLater}
	}
	id := h.Header.Get(s.config.Dialect.RequestID)
	if id == "" {
		return none, &fault{status: http.StatusBadRequest, text: "header " + s.config.Dialect.RequestID + " is missing"}
	}
	if n := set.Limits.HeaderBytes; n > 0 && size(h) > n {
		return none, &fault{status: http.StatusRequestHeaderFieldsTooLarge, text: "headers exceed " + strconv.FormatInt(n, 10) + " bytes"}
	}
	rule := set.Find(h.Host, h.URL.EscapedPath())
	if rule == nil {
		return none, &fault{status: http.StatusNotFound, text: "no rule for host " + strconv.Quote(h.Host) + " and this path"}
	}
	deadline, f := s.deadline(h, rule, arrived)
	if f != nil {
		return none, f
	}
	body, f := s.body(w, h, set, deadline)
	if f != nil {
		// The rest of the body is not waited for, so nothing else can be read from the connection.
		w.Header().Set("Connection", "close")
		return none, f
	}
	service := s.config.Pick(rule)
	return forwarder.Job{
		Request: &request.Request{
			ID: id, Service: service, Kind: rule.Name, Class: rule.Name, Host: h.Host, Method: h.Method,
			Path: h.RequestURI, Header: h.Header, Body: body, Deadline: deadline, Idempotent: rule.Idempotent,
		},
		Rule: rule, Health: set.Services[service].HealthPath, Arrived: arrived,
	}, nil
}

// deadline returns the time at which the request ends: what the caller states, and at most the rule's timeout.
func (s *Server) deadline(h *http.Request, rule *ruleset.Rule, arrived time.Time) (time.Time, *fault) {
	left := defaultDeadline
	if text := h.Header.Get(s.config.Dialect.Deadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return time.Time{}, &fault{status: http.StatusBadRequest, text: "header " + s.config.Dialect.Deadline + " is no number of ms"}
		}
		left = min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline)
	}
	if rule.Timeout > 0 {
		left = min(left, rule.Timeout)
	}
	return arrived.Add(left), nil
}

// body reads the whole body within the limits.
func (s *Server) body(w http.ResponseWriter, h *http.Request, set *ruleset.Set, deadline time.Time) ([]byte, *fault) {
	limit := int64(bufferedBytes)
	if n := set.Limits.BodyBytes; n > 0 {
		limit = min(limit, n)
	}
	if h.ContentLength > limit {
		return nil, &fault{status: http.StatusRequestEntityTooLarge, text: "body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	if h.ContentLength == 0 || h.Body == http.NoBody {
		return nil, nil
	}
	// A caller that sends slowly holds its place no longer than it would wait for an answer.
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		s.config.Log.WithError(err).Warn("no bound on the time of a body")
	}
	var b bytes.Buffer
	if h.ContentLength > 0 {
		b.Grow(int(h.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, h.Body, limit))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, &fault{status: http.StatusRequestEntityTooLarge, text: "body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
		}
		return nil, &fault{status: http.StatusBadRequest, text: "body: " + err.Error()}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		s.config.Log.WithError(err).Warn("bound on the time of a body not lifted")
	}
	if s.buffered.Add(int64(b.Len())) > bufferedBytes {
		s.buffered.Add(-int64(b.Len()))
		return nil, &fault{http.StatusServiceUnavailable, "too-large: no room for the body", returnLater}
	}
	return b.Bytes(), nil
}

// size returns the approximate size of the headers in bytes.
func size(h *http.Request) int64 {
	n := len(h.Method) + len(h.RequestURI) + len(h.Host)
	for name, values := range h.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// reply sends what became of the request. 503 says that it did not run; 502 and 504 say that this is not known.
func (s *Server) reply(w http.ResponseWriter, h *http.Request, out outcome.Outcome) {
	switch out := out.(type) {
	case outcome.Answered:
		header := w.Header()
		for name, values := range out.Header {
			header[name] = values
		}
		if header["Content-Type"] == nil {
			// An empty entry keeps the HTTP server from guessing the type.
			header["Content-Type"] = nil
		}
		w.WriteHeader(out.Status)
		// An error means that the caller has left, which the request's context tells too.
		_, _ = w.Write(out.Body)
	case outcome.NotRun:
		s.write(w, h, fault{http.StatusServiceUnavailable, string(out.Reason), returnAfter(out.Reason)})
	case outcome.Unknown:
		switch out.Reason {
		case outcome.Cancelled:
			// Nobody reads an answer.
			panic(http.ErrAbortHandler)
		case outcome.Timeout:
			s.write(w, h, fault{status: http.StatusGatewayTimeout, text: string(out.Reason)})
		default:
			s.write(w, h, fault{status: http.StatusBadGateway, text: string(out.Reason)})
		}
	}
}

// returnAfter returns when a request that did not run may come back.
func returnAfter(reason outcome.Reason) time.Duration {
	switch reason {
	case outcome.Refused:
		return returnAtOnce
	case outcome.NoUpstream:
		return returnLater
	default:
		return returnSoon
	}
}

// refuse answers a request that is not forwarded.
func (s *Server) refuse(w http.ResponseWriter, h *http.Request, f *fault) {
	s.config.Metrics.Refused(f.status)
	s.config.Log.WithFields(logrus.Fields{
		"request": h.Header.Get(s.config.Dialect.RequestID), "host": h.Host, "status": f.status, "reason": f.text,
	}).Info("request refused")
	s.write(w, h, *f)
}

// write sends an answer of the VM itself.
func (s *Server) write(w http.ResponseWriter, h *http.Request, f fault) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if id := h.Header.Get(s.config.Dialect.RequestID); id != "" {
		header.Set(s.config.Dialect.RequestID, id)
	}
	if f.retryAfter > 0 {
		// Jitter keeps the callers that were refused together from returning together.
		after := f.retryAfter.Seconds() * (0.75 + 0.5*rand.Float64())
		header.Set("Retry-After", strconv.FormatFloat(after, 'f', 3, 64))
	}
	w.WriteHeader(f.status)
	// An error means that the caller has left.
	_, _ = io.WriteString(w, f.text+"\n")
}

// record writes the line of a request that was forwarded.
func (s *Server) record(j forwarder.Job, res forwarder.Result, took time.Duration) {
	fields := logrus.Fields{
		"request": j.Request.ID, "rule": j.Rule.Name, "service": j.Request.Service, "took-ms": took.Milliseconds(),
		"left-ms": time.Until(j.Request.Deadline).Milliseconds(), "rules-age-ms": s.config.RulesAge().Milliseconds(),
		"attempts": attempts(res.Attempts),
	}
	switch out := res.Outcome.(type) {
	case outcome.Answered:
		fields["outcome"], fields["status"] = "answered", out.Status
	case outcome.NotRun:
		fields["outcome"], fields["reason"], fields["detail"] = "not-run", out.Reason, out.Detail
	case outcome.Unknown:
		fields["outcome"], fields["reason"], fields["detail"] = "unknown", out.Reason, out.Detail
	}
	s.config.Log.WithFields(fields).Info("request ended")
}

// attempts describes the attempts of a request.
func attempts(all []forwarder.Attempt) []map[string]any {
	var list []map[string]any
	for _, a := range all {
		list = append(list, map[string]any{
			"upstream": a.Upstream.ID, "near": a.Near, "at-ms": a.Started.Milliseconds(), "took-ms": a.Took.Milliseconds(),
			"end": string(a.Class), "status": a.Status, "hedge": a.Hedge, "cost": float64(int(a.Cost*100)) / 100,
			"running": a.Load.Running, "waiting": a.Load.Waiting, "slots": a.Load.Slots, "slowdown": a.Load.Slowdown,
			"report-age-ms": a.LoadAge.Milliseconds(), "failing": float64(int(a.Failing*100)) / 100,
		})
	}
	return list
}
