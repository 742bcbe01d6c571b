package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// upstreamHeader returns the headers for the upstream: the caller's end-to-end headers and those of the protocol.
func (d *Dialect) upstreamHeader(r *request.Request, up declaration.Upstream, now time.Time) http.Header {
	h := d.EndToEnd(r.Header)
	if r.HasOrganisations {
		d.setOrganisation(h, r.Organisation)
	}
	// A nil entry keeps net/http from adding its own user agent.
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	// The time left in ms is rounded up, because 0 means that the deadline has passed.
	left := (r.Deadline.Sub(now) + time.Millisecond - 1) / time.Millisecond
	values := [...]string{r.ID, strconv.FormatInt(int64(left), 10), strconv.Itoa(r.Depth), up.Name}
	for i, name := range [...]string{d.RequestID, d.Deadline, d.Depth, d.Expect} {
		if name != "" && values[i] != "" {
			h[name] = values[i : i+1 : i+1]
		}
	}
	return h
}

// setOrganisation replaces what the caller sent as its organisation and its credentials by the name, or removes it if there is none.
// Some servers take underscores in the names of headers for hyphens, so that such names count too.
func (d *Dialect) setOrganisation(h http.Header, name string) {
	for sent := range h {
		if plain := strings.ReplaceAll(sent, "_", "-"); strings.EqualFold(plain, d.Organisation) || strings.EqualFold(plain, d.Credentials) {
			delete(h, sent)
		}
	}
	if d.Organisation != "" && name != "" {
		h[d.Organisation] = []string{name}
	}
}

// keepAliveTimeout returns how long the connection of an answer may stay idle according to its Keep-Alive header, or 0 if
// the header states no timeout.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			// The upstream counts from the time at which it sent the answer.
			return max(time.Duration(min(seconds, maxKeepAlive))*time.Second-keepAliveMargin, time.Millisecond)
		}
	}
	return 0
}
