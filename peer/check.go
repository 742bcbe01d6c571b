package peer

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// Bounds on the messages of peers. They are far above real messages and keep a faulty peer from exhausting memory.
const (
	maxName       = 253 // bytes, the longest domain name
	maxEvents     = 20000
	maxDigests    = 1024
	maxHeaders    = 256
	maxPath       = 16 << 10 // bytes
	maxTimeout    = time.Hour
	maxGeneration = 1 << 62
)

// CheckEvents returns an error for the first malformed event from a peer, or nil. One malformed event invalidates all.
func CheckEvents(events []*peerpb.Event) error {
	if len(events) > maxEvents {
		return errors.Newf("peer: %d events, at most %d", len(events), maxEvents)
	}
	for i, e := range events {
		if err := checkEvent(e); err != nil {
			return errors.Wrapf(err, "peer: event %d", i)
		}
	}
	return nil
}

func checkEvent(e *peerpb.Event) error {
	switch k := e.GetKind().(type) {
	case *peerpb.Event_Member:
		return checkMember(k.Member)
	case *peerpb.Event_Upstream:
		u := k.Upstream
		if _, ok := peerpb.UpstreamEvent_State_name[int32(u.GetState())]; !ok || u.GetState() == 0 {
			return errors.Newf("upstream state %d", u.GetState())
		}
		if u.GetVersion() == 0 || u.GetVersion() >= maxGeneration {
			return errors.Newf("upstream version %d", u.GetVersion())
		}
		return errors.CombineErrors(checkName("service", u.GetService()),
			errors.CombineErrors(checkName("upstream", u.GetUpstream()), checkName("observer", u.GetObserver())))
	case *peerpb.Event_Suspect:
		if k.Suspect == nil {
			return errors.New("empty suspect")
		}
	case *peerpb.Event_Generation:
		if g := k.Generation.GetGeneration(); g == 0 || g >= maxGeneration {
			return errors.Newf("generation %d", g)
		}
	default:
		return errors.New("no kind")
	}
	return nil
}

func checkMember(m *peerpb.MemberEvent) error {
	if _, ok := peerpb.MemberEvent_State_name[int32(m.GetState())]; !ok || m.GetState() == 0 {
		return errors.Newf("member state %d", m.GetState())
	}
	if m.GetCounter() >= maxGeneration {
		return errors.Newf("member counter %d", m.GetCounter())
	}
	if _, err := netip.ParseAddrPort(m.GetAddress()); err != nil {
		return errors.Wrap(err, "member address")
	}
	if _, err := netip.ParseAddrPort(m.GetPeerAddress()); err != nil {
		return errors.Wrap(err, "member peer address")
	}
	return errors.CombineErrors(checkName("member", m.GetName()),
		errors.CombineErrors(checkName("failure domain", m.GetFailureDomain()), checkIncarnation(m.GetIncarnation())))
}

func checkName(field, s string) error {
	if s == "" || len(s) > maxName {
		return errors.Newf("%s has %d bytes, want 1 to %d", field, len(s), maxName)
	}
	return nil
}

func checkIncarnation(s string) error {
	if len(s) != 16 {
		return errors.Newf("incarnation has %d bytes, want 16", len(s))
	}
	_, err := strconv.ParseUint(s, 16, 64)
	return errors.Wrap(err, "incarnation")
}

// CheckSender returns an error if a field of the sender is malformed, or nil.
func CheckSender(s *peerpb.Sender) error {
	if s.GetGeneration() >= maxGeneration {
		return errors.Newf("peer: sender generation %d", s.GetGeneration())
	}
	return errors.Wrap(errors.CombineErrors(checkName("name", s.GetName()),
		errors.CombineErrors(checkName("failure domain", s.GetFailureDomain()), checkIncarnation(s.GetIncarnation()))),
		"peer: sender")
}

func checkPing(m *peerpb.PingRequest) error {
	if m.GetTarget() != "" {
		if _, err := netip.ParseAddrPort(m.GetTarget()); err != nil {
			return errors.Wrap(err, "peer: target")
		}
	}
	return errors.CombineErrors(CheckSender(m.GetSender()), CheckEvents(m.GetEvents()))
}

func checkPush(m *peerpb.PushRequest) error {
	return errors.CombineErrors(CheckSender(m.GetSender()), CheckEvents(m.GetEvents()))
}

func checkCompare(m *peerpb.CompareRequest) error {
	if n := len(m.GetDigests()); n > maxDigests {
		return errors.Newf("peer: %d digests, at most %d", n, maxDigests)
	}
	return errors.CombineErrors(CheckSender(m.GetSender()), CheckEvents(m.GetEvents()))
}

func checkPull(m *peerpb.PullRequest) error {
	return CheckSender(m.GetSender())
}

func checkRun(m *peerpb.RunRequest) error {
	if err := CheckSender(m.GetSender()); err != nil {
		return err
	}
	if _, ok := peerpb.RunRequest_Mode_name[int32(m.GetMode())]; !ok || m.GetMode() == 0 {
		return errors.Newf("peer: mode %d", m.GetMode())
	}
	if m.GetDepth() > request.MaxDepth {
		return errors.Newf("peer: depth %d, at most %d", m.GetDepth(), request.MaxDepth)
	}
	if t := m.GetTimeoutUs(); t <= 0 || t > maxTimeout.Microseconds() {
		return errors.Newf("peer: timeout %d us, want 1 to %d", t, maxTimeout.Microseconds())
	}
	if len(m.GetPath()) > maxPath || len(m.GetKey()) > maxName || len(m.GetTenant()) > maxName ||
		len(m.GetGroup()) > 2*maxName {
		return errors.New("peer: path, key, tenant or group is too long")
	}
	for _, f := range [...]struct{ field, value string }{
		{"request id", m.GetRequestId()}, {"service", m.GetService()}, {"kind", m.GetKind()}, {"method", m.GetMethod()},
	} {
		if err := checkName(f.field, f.value); err != nil {
			return errors.Wrap(err, "peer")
		}
	}
	if !httpguts.ValidHeaderFieldName(m.GetMethod()) {
		return errors.Newf("peer: method %q", m.GetMethod())
	}
	if strings.ContainsFunc(m.GetPath(), func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return errors.Newf("peer: path %q has a space or control character", m.GetPath())
	}
	return checkHeaders(m.GetHeaders())
}

func checkHeaders(headers []*peerpb.Header) error {
	if len(headers) > maxHeaders {
		return errors.Newf("peer: %d headers, at most %d", len(headers), maxHeaders)
	}
	for _, h := range headers {
		if err := checkName("header name", h.GetName()); err != nil {
			return errors.Wrap(err, "peer")
		}
		if !httpguts.ValidHeaderFieldName(h.GetName()) {
			return errors.Newf("peer: header name %q", h.GetName())
		}
		if len(h.GetValues()) > maxHeaders {
			return errors.Newf("peer: header %q has %d values, at most %d", h.GetName(), len(h.GetValues()), maxHeaders)
		}
		for _, v := range h.GetValues() {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Newf("peer: header %q has value %q", h.GetName(), v)
			}
		}
	}
	return nil
}

// checkRunResponse validates a response to the request with the identifier. A response to another request must never
// reach the caller of this one.
func checkRunResponse(m *peerpb.RunResponse, id string) error {
	if m.GetRequestId() != id {
		return errors.Newf("peer: answer names request %q, want %q", m.GetRequestId(), id)
	}
	switch o := m.GetOutcome().(type) {
	case *peerpb.RunResponse_Answered:
		if s := o.Answered.GetStatus(); s < 200 || s > 599 {
			return errors.Newf("peer: status %d", s)
		}
		return checkHeaders(o.Answered.GetHeaders())
	case *peerpb.RunResponse_NotRun:
		return errors.Wrap(checkName("reason", o.NotRun.GetReason()), "peer")
	case *peerpb.RunResponse_Unknown:
		return errors.Wrap(checkName("reason", o.Unknown.GetReason()), "peer")
	}
	return errors.New("peer: answer has no outcome")
}
