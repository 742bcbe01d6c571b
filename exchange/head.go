package exchange

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ownHeaders holds the headers that head writes itself, or that a request sent with its length has not.
var ownHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// head returns the request line and the headers of the request, or an error if a part of it can't be sent. It is written here because
// net/http writes a target that begins with two slashes as an absolute URL.
func (a *attempt) head() ([]byte, error) {
	r := a.request
	host := a.upstream.Address
	if a.dialect.Verbatim && r.Host != "" {
		host = r.Host
	}
	h := a.dialect.upstreamHeader(r, a.upstream, time.Now())
	if !httpguts.ValidHeaderFieldName(r.Method) {
		return nil, errors.Newf("method %q is invalid", r.Method)
	}
	if !httpguts.ValidHostHeader(host) {
		return nil, errors.Newf("host %q is invalid", host)
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) || !isValid(values) {
			return nil, errors.Newf("header %q is invalid", name)
		}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, a.dialect.target(r), host)
	if len(r.Body) > 0 || statesEmptyBody(r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := h.WriteSubset(&b, ownHeaders); err != nil {
		return nil, errors.Wrap(err, "headers")
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// statesEmptyBody reports whether requests with the method state a length of 0 if they have no body.
func statesEmptyBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func isValid(values []string) bool {
	for _, v := range values {
		if !httpguts.ValidHeaderFieldValue(v) {
			return false
		}
	}
	return true
}
