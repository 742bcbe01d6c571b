package response

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// writeGrace is the time for which the end of a response without a length waits until the transport has noted that the request is
// written. It does so on another goroutine.
const writeGrace = 50 * time.Millisecond

// Transport is an HTTP/1 transport of net/http that refuses broken responses and closes their connections.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends requests by the base, whose connections it watches. The base must dial with
// DialContext, use no TLS and not be used otherwise. It requests no compression.
func NewTransport(base *http.Transport) *Transport {
	// The length of a body that the transport decompresses is unknown.
	base.DisableCompression = true
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner}
		if s, ok := inner.(syscall.Conn); ok {
			c.raw, _ = s.SyscallConn()
		}
		return c, nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// RoundTrip sends the request and returns the response, or an error if its head is malformed. The body fails where it has neither a
// length nor an orderly end.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var w watch
	trace := &httptrace.ClientTrace{GotConn: w.begin, WroteRequest: w.wroteRequest}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	m, heads := w.endHead()
	if err := checkHeads(heads); err != nil {
		// A response without a body has made its connection available to other requests already.
		_ = m.conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &unmarkedBody{ReadCloser: resp.Body, message: m}
	}
	return resp, nil
}

// checkHeads checks the heads of the informational responses and of the final one, with which the text begins.
func checkHeads(text string) error {
	for {
		rest := text
		for line := " "; line != ""; {
			line, rest = cutLine(rest)
		}
		if err := CheckHead(text[:len(text)-len(rest)]); err != nil {
			return err
		}
		if !strings.HasPrefix(text[len("HTTP/1.1 "):], "1") || rest == "" {
			return nil
		}
		text = rest
	}
}

// message is one request and its response on one connection.
type message struct {
	conn *conn
	// heads holds the bytes read, until hasHead is set. The mu of the connection guards both.
	heads   []byte
	hasHead bool
	// written is closed when the request has been written, with writeErr.
	written  chan struct{}
	writeErr error
}

// watch follows the message of a request, which changes if the transport sends the request again.
type watch struct {
	mu      sync.Mutex
	message *message
}

func (w *watch) begin(info httptrace.GotConnInfo) {
	c := info.Conn.(*conn)
	m := &message{conn: c, written: make(chan struct{})}
	w.mu.Lock()
	w.message = m
	w.mu.Unlock()
	c.mu.Lock()
	c.message = m
	c.mu.Unlock()
}

func (w *watch) wroteRequest(info httptrace.WroteRequestInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.message.written:
	default:
		w.message.writeErr = info.Err
		close(w.message.written)
	}
}

// endHead returns the message, whose heads have been read, and the bytes that begin with them.
func (w *watch) endHead() (m *message, heads string) {
	w.mu.Lock()
	m = w.message
	w.mu.Unlock()
	m.conn.mu.Lock()
	defer m.conn.mu.Unlock()
	heads, m.heads, m.hasHead = string(m.heads), nil, true
	return m, heads
}

// conn records the heads that are read, and whether the other side closed in order.
type conn struct {
	net.Conn
	raw syscall.RawConn

	mu        sync.Mutex
	message   *message
	isOrderly bool
}

// NetConn returns the connection that is watched.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.message; m != nil && !m.hasHead {
		m.heads = append(m.heads, p[:n]...)
	}
	if errors.Is(err, io.EOF) {
		// The transport closes the connection before the reader of the body sees the end.
		unacknowledged, err := Unacknowledged(c.raw)
		c.isOrderly = unacknowledged == 0 && err == nil
	}
	return n, err
}

// unmarkedBody is a body that ends with its connection.
type unmarkedBody struct {
	io.ReadCloser
	message *message
}

// Read reads from the body. It returns ErrBrokenOff at an end that may not be that of the body.
func (b *unmarkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.message.isWhole() {
		return n, errors.WithStack(ErrBrokenOff)
	}
	return n, err
}

// isWhole reports whether the whole request was written and received before the other side closed in order.
func (m *message) isWhole() bool {
	select {
	case <-m.written:
	case <-time.After(writeGrace):
		return false
	}
	m.conn.mu.Lock()
	defer m.conn.mu.Unlock()
	return m.writeErr == nil && m.conn.isOrderly
}
