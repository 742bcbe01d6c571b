package request

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxDepth is the deepest nesting of calls that is served.
const MaxDepth = 24

// Request is a caller's request with the rules that the configuration in force attaches to its kind.
type Request struct {
	// ID identifies the request on every hop and is echoed by answers.
	ID string
	// Key is the text form of the request key, or empty for an idempotent kind.
	Key string
	// Tenant, Service and Kind name what is asked.
	Tenant, Service, Kind string
	// Class groups kinds of like length for metrics and slot shares.
	Class string
	// Host is the host that the caller named, or empty.
	Host string
	// Method, Path, Header and Body are passed to the upstream; Path has no leading slash and may carry a query.
	Method, Path string
	Header       http.Header
	Body         []byte
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Depth counts the calls that led to this one.
	Depth int
	// Weight is the value of an answer in time; a higher weight goes first.
	Weight int
	// Idempotent tells whether the request may run more than once.
	Idempotent bool
	// Long marks work that may hold only a share of a group's slots.
	Long bool
}

// Fingerprint returns a hash of what the request does: service, kind, method, path and body.
// Two requests with equal fingerprints are taken to be the same work.
func (r *Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Service, r.Kind, r.Method, r.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}
