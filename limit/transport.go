package limit

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxHeaderBytes is the bound on the headers of an answer in bytes.
const MaxHeaderBytes = 64 << 10

// ErrTooLarge is the error for a body above its limit.
var ErrTooLarge = errors.New("body is larger than the limit")

// Transport fails the read of an answer's body at a limit, also for readers that drop the rest of a body that they refuse.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
	// MaxBody is the maximum length of a body in bytes.
	MaxBody int64
}

// RoundTrip sends the request and returns the answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err == nil {
		resp.Body = &body{ReadCloser: resp.Body, left: t.MaxBody}
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// body is a body of which at most left more bytes are read.
type body struct {
	io.ReadCloser
	left int64
}

// Read reads from the body, or returns ErrTooLarge once it exceeds its limit.
func (b *body) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrTooLarge
	}
	// One byte more shows whether the body exceeds the limit.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n - 1, ErrTooLarge
	}
	return n, err
}
