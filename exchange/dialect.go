package exchange

import (
	"net/http"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// Dialect describes the protocol of upstreams: the names of the headers and their meaning.
type Dialect struct {
	// RequestID names the header that identifies a request and is echoed by its answer.
	RequestID string
	// Deadline names the header with the time left until the deadline in ms.
	Deadline string
	// Depth names the header that counts nested calls, or is empty.
	Depth string
	// Expect names the header with the identifier of the upstream that the request is meant for, or is empty.
	Expect string
	// Organisation names the header with the organisation of the caller, or is empty. Credentials names the header with the caller's
	// credentials, or is empty. While the rules have organisations, neither of them passes as the caller sent it.
	Organisation, Credentials string
	// Verbatim passes method, target and host on as the caller sent them. Without it, the target consists of kind and path,
	// and a non-idempotent request must be a POST.
	Verbatim bool
	// AllowCloseDelimited accepts an answer without a length that ends when its connection closes.
	AllowCloseDelimited bool
	// MaxMismatched is the maximum number of answers to other requests that may precede the answer to a request.
	MaxMismatched int
	// EndToEnd returns the headers without those that apply to one hop only.
	EndToEnd func(http.Header) http.Header
	// Report reads what the upstream states about itself in an answer into the result.
	Report func(*http.Response, *Result)
	// Statement returns what the answer states about the run of its request. The status of an answer that is a Run is passed on, so it
	// must not tell callers anything else.
	Statement func(*http.Response) Statement
	// IsAltered reports whether the answer differs from the one that the upstream produced.
	IsAltered func(*http.Response) bool
}

// native is the dialect of upstreams that implement this project's own protocol.
var native = Dialect{
	RequestID: header.RequestID, Deadline: header.Deadline, Depth: header.Depth,
	EndToEnd: header.EndToEnd, Report: readReport, Statement: statement, IsAltered: func(*http.Response) bool { return false },
}

// check returns the reason for which the request must not be sent, or an empty string.
func (d *Dialect) check(r *request.Request, echo bool) string {
	if d.Verbatim {
		return checkVerbatim(r, echo)
	}
	return checkNative(r)
}

// target returns the request target. The path is not changed; it keeps its escapes and query.
func (d *Dialect) target(r *request.Request) string {
	if d.Verbatim {
		return r.Path
	}
	return nativeTarget(r)
}

// checkVerbatim returns the reason for which a request must not be sent as its caller wrote it, or an empty string.
func checkVerbatim(r *request.Request, echo bool) string {
	switch {
	case r.Method == "" || r.Method == http.MethodConnect:
		return "method is empty or CONNECT"
	case r.ID == "" && echo:
		return "request has no identifier"
	case r.Path == "" || r.Path[0] != '/' || !isPrintable(r.Path):
		return "target is not a path or has a space, a control character or a fragment"
	}
	return ""
}
