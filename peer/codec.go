package peer

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// EncodeRequest returns the message for a request; the deadline is sent as the time left from now.
func EncodeRequest(sender *peerpb.Sender, mode peerpb.RunRequest_Mode, group string, r *request.Request, now time.Time) *peerpb.RunRequest {
	return &peerpb.RunRequest{
		Sender: sender, Mode: mode, Group: group, RequestId: r.ID, Key: r.Key,
		Tenant: r.Tenant, Service: r.Service, Kind: r.Kind, Method: r.Method, Path: r.Path,
		Headers: encodeHeader(r.Header), Body: r.Body,
		TimeoutUs: r.Deadline.Sub(now).Microseconds(), Depth: uint32(r.Depth),
	}
}

// DecodeRequest returns the request of a message, or an error if a field is malformed. Class, Weight, Idempotent and
// Long stay unset, because the receiver takes them from its configuration.
func DecodeRequest(m *peerpb.RunRequest, now time.Time) (*request.Request, error) {
	if err := checkRun(m); err != nil {
		return nil, err
	}
	return &request.Request{
		ID: m.GetRequestId(), Key: m.GetKey(), Tenant: m.GetTenant(), Service: m.GetService(), Kind: m.GetKind(),
		Method: m.GetMethod(), Path: m.GetPath(), Header: decodeHeader(m.GetHeaders()), Body: m.GetBody(),
		Deadline: now.Add(time.Duration(m.GetTimeoutUs()) * time.Microsecond), Depth: int(m.GetDepth()),
	}, nil
}

// EncodeOutcome returns the message for an outcome, with the free slots and waiting requests of the request's group on
// this VM.
func EncodeOutcome(id string, out outcome.Outcome, free, waiting int) *peerpb.RunResponse {
	m := &peerpb.RunResponse{RequestId: id, Load: &peerpb.Load{FreeSlots: int32(free), Waiting: int32(waiting)}}
	switch o := out.(type) {
	case outcome.Answered:
		m.Outcome = &peerpb.RunResponse_Answered{Answered: &peerpb.Answered{
			Status: int32(o.Status), Headers: encodeHeader(o.Header), Body: o.Body,
		}}
	case outcome.NotRun:
		m.Outcome = &peerpb.RunResponse_NotRun{NotRun: &peerpb.NotRun{Reason: string(o.Reason), Detail: o.Detail}}
	case outcome.Unknown:
		m.Outcome = &peerpb.RunResponse_Unknown{Unknown: &peerpb.Unknown{Reason: string(o.Reason), Detail: o.Detail}}
	}
	return m
}

// DecodeOutcome returns the outcome of a message that answers the request with the identifier, or an error if the
// message is malformed or answers another request.
func DecodeOutcome(m *peerpb.RunResponse, id string) (outcome.Outcome, error) {
	if err := checkRunResponse(m, id); err != nil {
		return nil, err
	}
	switch o := m.GetOutcome().(type) {
	case *peerpb.RunResponse_Answered:
		return outcome.Answered{
			Status: int(o.Answered.GetStatus()), Header: decodeHeader(o.Answered.GetHeaders()), Body: o.Answered.GetBody(),
		}, nil
	case *peerpb.RunResponse_NotRun:
		return outcome.NotRun{Reason: outcome.Reason(o.NotRun.GetReason()), Detail: o.NotRun.GetDetail()}, nil
	case *peerpb.RunResponse_Unknown:
		return outcome.Unknown{Reason: outcome.Reason(o.Unknown.GetReason()), Detail: o.Unknown.GetDetail()}, nil
	}
	return nil, errors.New("peer: answer has no outcome")
}

func encodeHeader(h http.Header) []*peerpb.Header {
	if len(h) == 0 {
		return nil
	}
	headers := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		headers = append(headers, &peerpb.Header{Name: name, Values: values})
	}
	return headers
}

func decodeHeader(headers []*peerpb.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, m := range headers {
		name := http.CanonicalHeaderKey(m.GetName())
		h[name] = append(h[name], m.GetValues()...)
	}
	return h
}
