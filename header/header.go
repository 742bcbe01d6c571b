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

	ownPrefix = "Fulmarhitch-"
)

// EndToEnd returns the headers of h that pass a hop, under canonical names and with shared values. It leaves out the
// headers that concern one connection (RFC 9110, section 7.6.1), those that make HTTP transports send a request
// again, and those of this package.
func EndToEnd(h http.Header) http.Header {
	return filter(h, func(name string) bool { return isHopByHop(name) || isReplay(name) || isOwn(name) })
}

// Transparent returns the headers of h without those that concern one connection.
func Transparent(h http.Header) http.Header {
	return filter(h, isHopByHop)
}

// filter returns the headers that are not dropped and that the Connection header doesn't name.
func filter(h http.Header, drop func(name string) bool) http.Header {
	// The room is for the headers that the next hop adds.
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		name = http.CanonicalHeaderKey(name)
		if !drop(name) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

// isHopByHop tells whether the header ends here. Expect is among them because a whole body is at hand and is sent at
// once.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect":
		return true
	default:
		return false
	}
}

// isReplay tells whether the header lets HTTP transports send a request again.
func isReplay(name string) bool {
	return name == "Idempotency-Key" || name == "X-Idempotency-Key"
}

func isOwn(name string) bool {
	return strings.HasPrefix(name, ownPrefix) || name == Load || name == State || name == Refused
}
