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

// framing holds the headers that are derived from the body.
var framing = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

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
	if len(r.Body) > 0 || hasBody(r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := h.WriteSubset(&b, framing); err != nil {
		return nil, errors.Wrap(err, "headers")
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// hasBody reports whether requests with the method state the length of an empty body.
func hasBody(method string) bool {
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
