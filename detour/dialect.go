package detour

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

// maxRetryAfter bounds the time to return that another VM states.
const maxRetryAfter = time.Minute

// dialect returns the dialect spoken with other VMs, which differs from that of upstreams in the headers between VMs.
func dialect(upstream exchange.Dialect) exchange.Dialect {
	d := upstream
	d.Expect = header.Detour
	d.Organisation = header.Organisation
	d.MaxMismatched = 0
	d.AllowCloseDelimited = false
	d.EndToEnd = endToEnd
	d.IsAltered = func(*http.Response) bool { return false }
	d.Statement = func(resp *http.Response) exchange.Statement { return statement(resp, upstream.Statement) }
	return d
}

// statement returns what the answer of a VM states: its own outcome, or what the upstream's answer states that it passes back. A VM
// that states no outcome may be of an older version; its status alone is no evidence that no upstream has run the request.
func statement(resp *http.Response, ofUpstream func(*http.Response) exchange.Statement) exchange.Statement {
	reason := outcome.Reason(resp.Header.Get(header.Reason))
	switch told := resp.Header.Get(header.Outcome); {
	case resp.Header.Get(header.Detour) != "":
		return exchange.Refusal{Outcome: outcome.NotRun{Reason: outcome.CutOff}}
	case told == header.NotRun && resp.StatusCode == http.StatusServiceUnavailable:
		after, detail := retryAfter(resp.Header)
		return exchange.Refusal{Outcome: outcome.NotRun{Reason: reason, Detail: detail, RetryAfter: after}}
	case told == header.Unknown:
		return exchange.Doubt{Outcome: outcome.Unknown{Reason: reason, Detail: "outcome at another VM"}}
	}
	s := ofUpstream(resp)
	if _, isRefusal := s.(exchange.Refusal); isRefusal {
		return exchange.Doubt{Outcome: outcome.Unknown{Reason: outcome.Unconfirmed, Detail: "another VM passed a refusal back as an answer"}}
	}
	return s
}

// retryAfter returns the time that the header Retry-After states, or 0 and what is wrong with it. A missing header states nothing.
func retryAfter(h http.Header) (after time.Duration, detail string) {
	text := h.Get("Retry-After")
	if text == "" {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRetryAfter.Seconds()) {
		return 0, fmt.Sprintf("time to return %q of another VM can't be used", text)
	}
	return time.Duration(seconds * float64(time.Second)), ""
}

// endToEnd returns the headers that pass a hop, and those between VMs that are set before and read after it.
func endToEnd(h http.Header) http.Header {
	out := header.Transparent(h)
	for _, name := range []string{header.RulesVersion, header.Caller, header.Upstream} {
		if v, ok := h[name]; ok {
			out[name] = v
		}
	}
	return out
}

// FormatUpstream returns the value of header.Upstream for the upstream.
func FormatUpstream(u roster.Upstream) string {
	return strconv.FormatInt(u.StartedMS, 10) + " " + u.ID
}

// takeUpstream removes header.Upstream and returns the upstream that it names, or one without an ID.
func takeUpstream(h http.Header) roster.Upstream {
	started, id, _ := strings.Cut(h.Get(header.Upstream), " ")
	h.Del(header.Upstream)
	ms, err := strconv.ParseInt(started, 10, 64)
	if err != nil {
		return roster.Upstream{}
	}
	return roster.Upstream{ID: id, StartedMS: ms}
}
