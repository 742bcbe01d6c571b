package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/request"
)

// Names of headers in canonical form.
const (
	headerRequestID = "Fulmarhitch-Request-Id"
	headerDeadline  = "Fulmarhitch-Deadline-Ms"
	headerDepth     = "Fulmarhitch-Depth"
	headerLoad      = "Upstream-Load"
	headerState     = "Upstream-State"
	headerRefused   = "Upstream-Refused"

	ownPrefix = "Fulmarhitch-"
)

// isHopByHop tells whether the header concerns a single connection. Expect is among them because the whole body is at
// hand and is sent at once.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect":
		return true
	default:
		return false
	}
}

// isReplayMark tells whether HTTP transports take the header as leave to send a request again.
func isReplayMark(name string) bool {
	return name == "Idempotency-Key" || name == "X-Idempotency-Key"
}

// named returns the canonical names that the Connection header lists.
func named(h http.Header) []string {
	var names []string
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// forward returns the headers for the upstream: the caller's end-to-end headers and those of the protocol.
func forward(r *request.Request, now time.Time) http.Header {
	h := make(http.Header, len(r.Header)+4)
	for name, values := range r.Header {
		name = http.CanonicalHeaderKey(name)
		if !isHopByHop(name) && !isReplayMark(name) && !strings.HasPrefix(name, ownPrefix) {
			h[name] = values
		}
	}
	for _, name := range named(r.Header) {
		delete(h, name)
	}
	// An empty entry keeps the HTTP library from adding its own name.
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	// The time left is rounded up, because 0 means that the deadline has passed.
	left := (r.Deadline.Sub(now) + time.Millisecond - 1) / time.Millisecond
	v := [...]string{r.ID, strconv.FormatInt(int64(left), 10), strconv.Itoa(r.Depth)}
	h[headerRequestID], h[headerDeadline], h[headerDepth] = v[0:1:1], v[1:2:2], v[2:3:3]
	return h
}

// strip removes from an answer's headers those of the connection and those of the protocol.
func strip(h http.Header) {
	for _, name := range named(h) {
		delete(h, name)
	}
	for name := range h {
		if isHopByHop(name) || strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
	delete(h, headerLoad)
	delete(h, headerState)
	delete(h, headerRefused)
}
