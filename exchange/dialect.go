package exchange

import (
	"net/http"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// Dialect is the way in which upstreams are spoken to: names of headers and their meaning.
type Dialect struct {
	// RequestID names the header that identifies a request and is echoed by its answer.
	RequestID string
	// Deadline names the header with the time left in ms.
	Deadline string
	// Depth names the header that counts nested calls, or is empty.
	Depth string
	// Expect names the header with the identifier of the upstream that is meant, or is empty.
	Expect string
	// Verbatim passes method, target and host as the caller sent them; else the target is made of kind and path, and
	// a non-idempotent request has to be a POST.
	Verbatim bool
	// Unframed accepts an answer that ends with its connection.
	Unframed bool
	// Strays is the number of answers to other requests that may come before the own one.
	Strays int
	// EndToEnd returns the headers that pass a hop.
	EndToEnd func(http.Header) http.Header
	// Report reads load and state from the headers of an answer into the result.
	Report func(http.Header, *Result)
	// Refusal tells whether the answer says that the request did not run.
	Refusal func(*http.Response) (outcome.Reason, bool)
	// Foreign tells whether the answer is not what the upstream made.
	Foreign func(*http.Response) bool
}

// native is the dialect of upstreams that implement the protocol of this project.
var native = Dialect{
	RequestID: header.RequestID, Deadline: header.Deadline, Depth: header.Depth,
	EndToEnd: header.EndToEnd, Report: report, Refusal: refusal, Foreign: func(*http.Response) bool { return false },
}

// fault returns why the request may not be sent, or an empty string.
func (d *Dialect) fault(r *request.Request, echo bool) string {
	if d.Verbatim {
		return verbatimFault(r, echo)
	}
	return fault(r)
}

// target returns the request target; the path is passed as it is, with its escapes and query.
func (d *Dialect) target(r *request.Request) string {
	if d.Verbatim {
		return r.Path
	}
	return target(r)
}

// verbatimFault returns why a request may not be sent as its caller wrote it, or an empty string.
func verbatimFault(r *request.Request, echo bool) string {
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
