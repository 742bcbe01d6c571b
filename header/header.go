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
	// Outcome holds the outcome of the request: Answered, NotRun or Unknown. Between VMs, only an answer of a VM itself has it.
	Outcome = "Fulmarhitch-Outcome"
	// Reason holds the reason of an outcome that is not answered.
	Reason = "Fulmarhitch-Reason"
	// Refused is set by an upstream that refused a request before running it.
	Refused = "Upstream-Refused"
	// Load holds an upstream's running and waiting requests and its slots.
	Load = "Upstream-Load"
	// State holds an upstream's state: ready, cold or draining.
	State = "Upstream-State"
	// Detour names, in a request that a VM passes on, the VM that it is meant for. In an answer, it marks a refusal after which
	// another VM may be asked.
	Detour = "Fulmarhitch-Detour"
	// RulesVersion holds the version of the rules by which a VM accepted a request that it passes on.
	RulesVersion = "Fulmarhitch-Rules-Version"
	// Caller holds the IP address of the caller of a request that a VM passes on.
	Caller = "Fulmarhitch-Caller"
	// Organisation holds the name of the organisation of a request that a VM passes on.
	Organisation = "Fulmarhitch-Organisation"
	// Upstream names the upstream whose answer is passed back to the VM that passed the request on.
	Upstream = "Fulmarhitch-Upstream"

	// OfOrganisation follows the name of the VM in Detour if the request is one of an organisation. A VM of an earlier release, which
	// would serve it without the organisation, then refuses it as one that is meant for another VM.
	OfOrganisation = " organisation"

	protocolPrefix = "Fulmarhitch-"
)

// Values of Outcome.
const (
	// Answered states that the answer is that of the upstream that ran the request.
	Answered = "answered"
	// NotRun states that no upstream has run the request and none will.
	NotRun = "not-run"
	// Unknown states that the request may have run.
	Unknown = "unknown"
)

// EndToEnd returns the headers of h that pass a hop, under canonical names; it does not copy the values. It omits
// hop-by-hop headers (RFC 9110, section 7.6.1), headers that let HTTP transports send a request again, and the headers of
// this package.
func EndToEnd(h http.Header) http.Header {
	return filter(h, func(name string) bool { return isHopByHop(name) || allowsResend(name) || isProtocolHeader(name) })
}

// Transparent returns the headers of h without the hop-by-hop ones, among them those between VMs.
func Transparent(h http.Header) http.Header {
	return filter(h, func(name string) bool {
		switch name {
		case Detour, RulesVersion, Caller, Organisation, Upstream, Outcome, Reason:
			return true
		default:
			return isHopByHop(name)
		}
	})
}

// filter returns the headers for which drop returns false and which the Connection header doesn't name.
func filter(h http.Header, drop func(name string) bool) http.Header {
	// The additional capacity is for headers that the next hop adds.
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

// isHopByHop reports whether the header must not pass a hop. Expect is one of them because the whole body has already been
// read and is sent without waiting for a 100 (Continue) response.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect":
		return true
	default:
		return false
	}
}

// allowsResend reports whether the header lets HTTP transports send a request again.
func allowsResend(name string) bool {
	return name == "Idempotency-Key" || name == "X-Idempotency-Key"
}

func isProtocolHeader(name string) bool {
	return strings.HasPrefix(name, protocolPrefix) || name == Load || name == State || name == Refused
}
