package frontend

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/limit"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

const (
	callPrefix = "/v1/call/"
	// unreadBodyTimeout bounds the read of a body of a refused call.
	unreadBodyTimeout = time.Second
	// maxIDLength bounds a request identifier in bytes, because identifiers are stored and logged.
	maxIDLength = 128
)

// interceptCalls returns a handler that serves calls itself and passes other requests to next. Calls bypass the router of
// kratos, which would match patterns and copy the request for each.
func (s *Server) interceptCalls(next http.Handler) http.Handler {
	next = limit.Handler(next, maxFileBytes, fileTimeout)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, callPrefix) {
			s.call(w, req)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// hasDotSegment reports whether the path has a segment "." or "..", with which it could reach another kind at an upstream.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// call serves one call.
func (s *Server) call(w http.ResponseWriter, req *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	arrived := time.Now()
	id := req.Header.Get(header.RequestID)
	if req.Body != http.NoBody {
		// The HTTP server reads the body of a refused call to keep the connection.
		if err := http.NewResponseController(w).SetReadDeadline(arrived.Add(unreadBodyTimeout)); err != nil {
			s.config.Log.WithError(err).Warn("frontend: failed to set the read deadline for a body")
		}
	}
	r, refusal := s.decodeCall(w, req, arrived)
	if refusal != nil {
		writeOutcome(w, id, s.config.Refuse(req.Header.Get(header.Key), *refusal))
		return
	}
	defer s.config.Bodies.Take(int64(len(r.Body))).Close()
	writeOutcome(w, id, s.config.Run(req.Context(), r))
}

// decodeCall returns the request with the rules of its kind, or the reason why it is refused.
func (s *Server) decodeCall(w http.ResponseWriter, req *http.Request, now time.Time) (*request.Request, *outcome.NotRun) {
	current := s.config.Current()
	if current == nil {
		return nil, &outcome.NotRun{Reason: outcome.NotReady, Detail: "no configuration is in force yet"}
	}
	service, kind, path, refusal := parseTarget(current.Declaration, req)
	if refusal != nil {
		return nil, refusal
	}
	r := &request.Request{
		ID: req.Header.Get(header.RequestID), Key: req.Header.Get(header.Key),
		Tenant: service.Tenant, Service: service.Name, Kind: kind.Name, Class: kind.Class,
		Method: req.Method, Path: path, Header: header.EndToEnd(req.Header),
		Weight: kind.Weight, Idempotent: kind.Idempotent, Long: kind.Long,
	}
	if refusal := checkHeaders(r, req, kind, now); refusal != nil {
		return nil, refusal
	}
	if refusal := s.readBody(r, w, req, service.MaxBody); refusal != nil {
		return nil, refusal
	}
	return r, nil
}

// parseTarget returns the service and kind that the path names and the rest of the path, which is sent to the upstream.
func parseTarget(d *declaration.Declaration, req *http.Request) (*declaration.Service, *declaration.Kind, string, *outcome.NotRun) {
	if hasDotSegment(req.URL.Path) {
		return nil, nil, "", badRequest("path: has a segment \".\" or \"..\"")
	}
	parts := strings.SplitN(strings.TrimPrefix(req.URL.EscapedPath(), callPrefix), "/", 3)
	service := d.Service(parts[0])
	if service == nil {
		return nil, nil, "", badRequest("path: unknown service " + strconv.Quote(parts[0]))
	}
	var kind *declaration.Kind
	if len(parts) > 1 {
		kind = service.Kind(parts[1])
	}
	if kind == nil {
		return nil, nil, "", badRequest("path: unknown kind of service " + strconv.Quote(service.Name))
	}
	path := ""
	if len(parts) == 3 {
		path = parts[2]
	}
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return service, kind, path, nil
}

// checkHeaders checks the protocol's headers and stores their values in r.
func checkHeaders(r *request.Request, req *http.Request, kind *declaration.Kind, now time.Time) *outcome.NotRun {
	if r.ID == "" || len(r.ID) > maxIDLength {
		return badRequest(header.RequestID + ": 1 to " + strconv.Itoa(maxIDLength) + " characters are needed")
	}
	timeout := kind.Timeout
	if text := req.Header.Get(header.Deadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms < 1 {
			return badRequest(header.Deadline + ": want a whole number of ms from 1, got " + strconv.Quote(text))
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	r.Deadline = now.Add(timeout)
	if text := req.Header.Get(header.Depth); text != "" {
		depth, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return badRequest(header.Depth + ": want a whole number, got " + strconv.Quote(text))
		}
		r.Depth = int(depth)
	}
	if r.Depth >= request.MaxDepth {
		return &outcome.NotRun{Reason: outcome.TooDeep, Detail: header.Depth + ": at most " + strconv.Itoa(request.MaxDepth)}
	}
	r.Depth++
	switch {
	case kind.Idempotent:
		r.Key = ""
	case req.Method != http.MethodPost:
		return badRequest("method: a request of kind " + strconv.Quote(kind.Name) + " is not idempotent and must be POST")
	case r.Key == "":
		return badRequest(header.Key + ": a request of kind " + strconv.Quote(kind.Name) + " is not idempotent and needs a key")
	}
	return nil
}

// readBody reads the whole body within the limit and the request's deadline, so that a caller that sends its body slowly
// does not hold memory for longer. After an error the read deadline stays set, because the server then reads and
// discards the rest of the body.
func (s *Server) readBody(r *request.Request, w http.ResponseWriter, req *http.Request, limit int) *outcome.NotRun {
	if req.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(r.Deadline)
	if req.ContentLength > int64(limit) {
		return tooLarge(limit)
	}
	body, refusal := s.readAll(r, control, req, limit)
	if refusal != nil {
		return refusal
	}
	r.Body = body
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// readAll reads the body. Memory is taken as it arrives, whatever length was announced.
func (s *Server) readAll(r *request.Request, control *http.ResponseController, req *http.Request, limit int) ([]byte, *outcome.NotRun) {
	ctx, cancel := context.WithDeadline(req.Context(), r.Deadline)
	defer cancel()
	hold := s.config.Bodies.Open(r.ID, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer hold.Close()
	body, err := buffer.Read(ctx, req.Body, int64(limit), hold)
	switch {
	case errors.Is(err, buffer.ErrTooLarge):
		return nil, tooLarge(limit)
	case errors.Is(err, buffer.ErrEvicted):
		return nil, &outcome.NotRun{Reason: outcome.NoMemory, Detail: "body: memory for bodies is used up"}
	case err != nil && req.ContentLength > 0:
		return nil, badRequest("body: ended early: " + err.Error())
	case err != nil:
		return nil, badRequest("body: " + err.Error())
	}
	return body, nil
}

func badRequest(detail string) *outcome.NotRun {
	return &outcome.NotRun{Reason: outcome.BadRequest, Detail: detail}
}

func tooLarge(limit int) *outcome.NotRun {
	return &outcome.NotRun{Reason: outcome.TooLarge, Detail: "body: at most " + strconv.Itoa(limit) + " bytes"}
}
