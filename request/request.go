package request

import (
	"encoding/binary"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/header"
)

// MaxDepth is the maximum depth of nested calls that is served.
const MaxDepth = 24

// Request is a caller's request with the rules that the configuration in force attaches to its kind.
type Request struct {
	// ID identifies the request on every hop and is echoed by answers.
	ID string
	// Key is the text form of the request key, or empty for an idempotent kind.
	Key string
	// Tenant, Service and Kind name the tenant, the service and the kind of the request.
	Tenant, Service, Kind string
	// Class groups kinds of similar duration, for metrics and slot shares.
	Class string
	// Host is the host that the caller addressed, or empty.
	Host string
	// Method, Path, Header and Body are passed to the upstream; Path has no leading slash and may carry a query.
	Method, Path string
	Header       http.Header
	Body         []byte
	// Caller is the IP address of the caller, or empty if it isn't known.
	Caller string
	// Organisation is the name of the caller's organisation, or empty if it is of none.
	Organisation string
	// HasOrganisations reports whether the rules have organisations. Credentials of the caller and a name of an organisation that it sent
	// are then not passed on.
	HasOrganisations bool
	// AttemptHeaders are the canonical names of the headers that each attempt of a caller has of its own.
	AttemptHeaders []string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Depth counts the calls that led to this one.
	Depth int
	// Weight is the value of a timely answer; requests of higher weight are served first.
	Weight int
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Long marks a long-running request; such requests may hold only a share of a group's slots.
	Long bool
}

// NewPoll returns a request to the health endpoint of an upstream of the service at the address.
func NewPoll(service, address, path string, deadline time.Time) *Request {
	return &Request{Service: service, Method: http.MethodGet, Path: path, Host: address, Idempotent: true, Deadline: deadline}
}

// Fingerprint returns a hash of the service, kind, method, path and body. Requests with equal fingerprints are treated as
// the same work.
func (r *Request) Fingerprint() uint64 {
	hash := xxhash.New()
	for _, s := range []string{r.Service, r.Kind, r.Method, r.Path} {
		_, _ = hash.WriteString(s)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.Body)
	return hash.Sum64()
}

// Fingerprints returns hashes of the request from coarse to fine: Fingerprint, that with the caller, and that with the caller and
// the headers. A request without a known caller has only the first.
func (r *Request) Fingerprints() []uint64 {
	fingerprints, _ := r.Identify()
	return fingerprints
}

// maxFeatures bounds the features of a request. Browsers and common clients send about 15 headers.
const maxFeatures = 24

// Identify returns Fingerprints and the features of the request: hashes of Fingerprint with one header each, in the order of the names, for
// at most maxFeatures headers. Requests for the same work that differ in some headers share the features of the others. Headers that each
// attempt has of its own are left out, and a request without a known caller has no features.
func (r *Request) Identify() (fingerprints, features []uint64) {
	work := r.Fingerprint()
	if r.Caller == "" {
		return []uint64{work}, nil
	}
	workBytes := binary.BigEndian.AppendUint64(nil, work)
	hash := xxhash.New()
	_, _ = hash.Write(workBytes)
	_, _ = hash.WriteString(r.Caller)
	byCaller := hash.Sum64()
	if r.Organisation != "" {
		// Upstreams get the name in a header. The key is in no hash, because the hashes are shared by the store.
		_, _ = hash.WriteString("\x00organisation\x00" + r.Organisation)
	}
	stable := header.Transparent(r.Header)
	for _, name := range slices.Sorted(maps.Keys(stable)) {
		if r.isOfAttempt(name) {
			continue
		}
		feature := xxhash.New()
		_, _ = feature.Write(workBytes)
		_, _ = feature.WriteString(name)
		for _, value := range stable[name] {
			_, _ = hash.Write([]byte{0})
			_, _ = hash.WriteString(name)
			_, _ = hash.Write([]byte{0})
			_, _ = hash.WriteString(value)
			_, _ = feature.Write([]byte{0})
			_, _ = feature.WriteString(value)
		}
		if len(features) < maxFeatures {
			features = append(features, feature.Sum64())
		}
	}
	return []uint64{work, byCaller, hash.Sum64()}, features
}

// isOfAttempt reports whether attempts of the same request may differ in the header.
func (r *Request) isOfAttempt(name string) bool {
	switch name {
	case "Content-Length", "Date", "Traceparent", "Tracestate":
		return true
	default:
		return slices.Contains(r.AttemptHeaders, name)
	}
}
