package detour

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

// dialect returns the dialect spoken with other VMs, which differs from that of upstreams in the headers between VMs.
func dialect(upstream exchange.Dialect) exchange.Dialect {
	d := upstream
	d.Expect = header.Detour
	d.MaxMismatched = 0
	d.AllowCloseDelimited = false
	d.EndToEnd = endToEnd
	d.IsAltered = func(*http.Response) bool { return false }
	d.Refusal = func(resp *http.Response) (outcome.Reason, bool) {
		return outcome.Refused, resp.Header.Get(header.Detour) != ""
	}
	return d
}

// endToEnd returns the headers that pass a hop, and those between VMs that are set before and read after it.
func endToEnd(h http.Header) http.Header {
	out := header.Transparent(h)
	for _, name := range []string{header.RulesVersion, header.Upstream} {
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
