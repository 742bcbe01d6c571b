package exchange

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// forward returns the headers for the upstream: the caller's end-to-end headers and those of the protocol.
func forward(r *request.Request, now time.Time) http.Header {
	h := header.EndToEnd(r.Header)
	// An empty entry keeps the HTTP library from adding its own name.
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	// The time left is rounded up, because 0 means that the deadline has passed.
	left := (r.Deadline.Sub(now) + time.Millisecond - 1) / time.Millisecond
	v := [...]string{r.ID, strconv.FormatInt(int64(left), 10), strconv.Itoa(r.Depth)}
	h[header.RequestID], h[header.Deadline], h[header.Depth] = v[0:1:1], v[1:2:2], v[2:3:3]
	return h
}
