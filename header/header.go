package header

import (
	"net/http"
	"strings"
)

// Headers between callers, entry VMs and upstreams, in canonical form.
const (
	// RequestID identifies a request and is echoed by its answer.
	RequestID = "Fulmarhitch-Request-Id"
	// Deadline holds the time left for the request in ms.
	Deadline = "Fulmarhitch-Deadline-Ms"
	// Key holds the request key of a non-idempotent request.
	Key = "Fulmarhitch-Key"
	// Depth counts the calls that led to the request.
	Depth = "Fulmarhitch-Depth"
	// Outcome is answered, not-run or unknown.
	Outcome = "Fulmarhitch-Outcome"
	// Reason says why an outcome is not answered.
	Reason = "Fulmarhitch-Reason"
	// Refused is set by an upstream that refused a request before running it.
	Refused = "Upstream-Refused"
	// Load holds an upstream's running and waiting requests and its slots.
	Load = "Upstream-Load"
	// State is ready, cold or draining.
	State = "Upstream-State"
)

// hopByHop lists the headers that concern one connection only (RFC 9110, section 7.6.1), and those that
// make the HTTP library's transport replay a request.
var hopByHop = map[string]struct{}{
	"Connection": {}, "Proxy-Connection": {}, "Keep-Alive": {}, "Proxy-Authenticate": {}, "Proxy-Authorization": {},
	"Te": {}, "Trailer": {}, "Transfer-Encoding": {}, "Upgrade": {}, "Content-Length": {},
	"Idempotency-Key": {}, "X-Idempotency-Key": {},
}

// EndToEnd returns a copy of h without hop-by-hop headers, without those that the Connection header
// lists and without the headers of this package.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if _, drop := hopByHop[name]; drop || isOwn(name) {
			continue
		}
		out[name] = values
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

func isOwn(name string) bool {
	return strings.HasPrefix(name, "Fulmarhitch-") || strings.HasPrefix(name, "Upstream-")
}
