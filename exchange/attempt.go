package exchange

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// attempt sends a request over one connection.
type attempt struct {
	link      *link
	transport *http.Transport
	request   *request.Request
	address   string
	limit     int
	echo      bool
	cancel    context.CancelFunc

	trace    httptrace.ClientTrace
	conn     *conn
	reused   bool
	replayed bool
}

// body is a reader without a way back to its beginning, which the HTTP transport therefore can't replay.
type body struct {
	bytes.Reader
}

// Close does nothing.
func (b *body) Close() error { return nil }

// run sends the request; stale tells that it met a broken idle connection and that no byte was written.
func (a *attempt) run(ctx context.Context) (res Result, stale bool) {
	a.conn, a.reused = nil, false
	a.trace.GotConn = a.gotConn
	resp, err := a.transport.RoundTrip(a.http(httptrace.WithClientTrace(ctx, &a.trace)))
	if err != nil {
		return a.failed(ctx, err)
	}
	return a.answered(ctx, resp), false
}

// http returns the request as the transport takes it, with the path as it came.
func (a *attempt) http(ctx context.Context) *http.Request {
	r := a.request
	h := http.Request{
		Method: r.Method, Host: a.address, ContentLength: int64(len(r.Body)), Header: forward(r, time.Now()),
		URL: &url.URL{Scheme: "http", Host: a.address, Opaque: target(r)},
	}
	if len(r.Body) > 0 {
		b := new(body)
		b.Reset(r.Body)
		h.Body = b
	}
	return h.WithContext(ctx)
}

// gotConn takes the connection that the transport chose. If the transport chooses another one after bytes were written,
// it is about to replay the request, which is stopped before the first byte.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		a.cancel()
		return
	}
	if a.conn != nil && a.conn.sent() {
		a.replayed = true
		c.arm(time.Time{})
		c.seal()
		a.cancel()
		return
	}
	c.arm(a.request.Deadline)
	a.conn, a.reused = c, info.Reused
}

// failed tells what became of a request that got no answer.
func (a *attempt) failed(ctx context.Context, err error) (res Result, stale bool) {
	if a.conn != nil && a.conn.seal() {
		return a.lost(ctx, outcome.ConnectionLost, Lost, err), false
	}
	var dial *dialError
	switch {
	case expired(ctx, a.request):
		return unsent(outcome.DeadlineUnreachable, "deadline passed before a connection was free"), false
	case ctx.Err() != nil:
		return unsent(outcome.Cancelled, "cancelled before sending"), false
	case a.conn == nil && !errors.As(err, &dial):
		return unsent(outcome.BadRequest, err.Error()), false
	default:
		return unsent(outcome.Unreachable, err.Error()), a.reused
	}
}

// lost tells what became of a request of which bytes were written and whose connection is sealed.
func (a *attempt) lost(ctx context.Context, reason outcome.Reason, class Class, err error) Result {
	switch {
	case expired(ctx, a.request):
		return unknown(TimedOut, outcome.Timeout, "no answer by the deadline")
	case ctx.Err() != nil && !a.replayed:
		return unknown(Cancelled, outcome.Cancelled, "cancelled after sending")
	case a.link.refuses(a.address):
		return unknown(Died, reason, err.Error())
	default:
		return unknown(class, reason, err.Error())
	}
}

// expired tells whether the deadline has passed by the context or by the clock, whichever is noticed first.
func expired(ctx context.Context, r *request.Request) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(r.Deadline)
}
