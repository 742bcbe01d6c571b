package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

const (
	// maxAtOnce bounds the bodies that are written before the answer is read. It is below the sizes of socket buffers, so
	// that an upstream that answers without reading the body doesn't block the write.
	maxAtOnce = 16 << 10
	// maxInterim bounds the informational answers before the final one.
	maxInterim = 5
)

var errInterim = errors.New("too many informational answers")

// attempt sends a request over one connection.
type attempt struct {
	link     *link
	dialect  *Dialect
	request  *request.Request
	upstream declaration.Upstream
	limit    int
	echo     bool

	conn   *conn
	reused bool
}

// run sends the request; stale tells that it met a broken idle connection and that no byte was written.
func (a *attempt) run(ctx context.Context) (res Result, stale bool) {
	a.conn, a.reused = nil, false
	h, err := a.http()
	if err != nil {
		return unsent(outcome.BadRequest, err.Error()), false
	}
	if a.conn, a.reused, err = a.link.get(ctx, a.upstream.Address); err != nil {
		return a.failed(ctx, err)
	}
	a.conn.arm(a.request.Deadline)
	// The end of ctx interrupts reads and writes in progress. The connection isn't used again after that.
	c := a.conn
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, written, err := a.exchange(h)
	if err != nil {
		stop()
		return a.failed(ctx, err)
	}
	res = a.answered(ctx, resp)
	if stop() && written() && !resp.Close && c.in.Buffered() == 0 && !c.isSealed() {
		a.link.put(c, idleTime(resp.Header))
	} else {
		_ = c.Close()
	}
	return res, false
}

// exchange writes the request and reads the headers of its answer; written tells whether the whole request was written.
func (a *attempt) exchange(h *http.Request) (resp *http.Response, written func() bool, err error) {
	if len(a.request.Body) <= maxAtOnce {
		if err := a.conn.send(h); err != nil {
			return nil, nil, err
		}
		resp, err = a.receive(h)
		return resp, func() bool { return true }, err
	}
	sent := make(chan error, 1)
	c := a.conn
	go func() { sent <- c.send(h) }()
	resp, err = a.receive(h)
	return resp, func() bool {
		select {
		case err := <-sent:
			return err == nil
		default:
			return false
		}
	}, err
}

// receive reads the headers of the answer; answers to other requests before it are read and dropped.
func (a *attempt) receive(h *http.Request) (*http.Response, error) {
	for strays := 0; ; strays++ {
		resp, err := a.conn.receive(h)
		if err != nil || strays == a.dialect.Strays || !a.isStray(resp) {
			return resp, err
		}
		_, err = a.read(resp)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
	}
}

// http returns the request as the HTTP library takes it, with the path as it came, or an error if a part of it can't be
// sent.
func (a *attempt) http() (*http.Request, error) {
	r := a.request
	h := &http.Request{
		Method: r.Method, Host: a.upstream.Address, ContentLength: int64(len(r.Body)),
		Header: a.dialect.forward(r, a.upstream, time.Now()),
		URL:    &url.URL{Scheme: "http", Host: a.upstream.Address, Opaque: a.dialect.target(r)},
	}
	if a.dialect.Verbatim && r.Host != "" {
		h.Host = r.Host
	}
	if !httpguts.ValidHeaderFieldName(r.Method) {
		return nil, errors.Newf("method %q is invalid", r.Method)
	}
	for name, values := range h.Header {
		if !httpguts.ValidHeaderFieldName(name) || !isValid(values) {
			return nil, errors.Newf("header %q is invalid", name)
		}
	}
	if len(r.Body) > 0 {
		h.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return h, nil
}

func isValid(values []string) bool {
	for _, v := range values {
		if !httpguts.ValidHeaderFieldValue(v) {
			return false
		}
	}
	return true
}

// failed tells what became of a request that got no answer.
func (a *attempt) failed(ctx context.Context, err error) (res Result, stale bool) {
	if a.conn != nil && a.conn.seal() {
		return a.lost(ctx, outcome.ConnectionLost, Lost, err), false
	}
	switch {
	case expired(ctx, a.request):
		return unsent(outcome.DeadlineUnreachable, "deadline passed before a connection was free"), false
	case ctx.Err() != nil:
		return unsent(outcome.Cancelled, "cancelled before sending"), false
	default:
		return unsent(outcome.Unreachable, err.Error()), a.reused
	}
}

// lost tells what became of a request of which bytes were written and whose connection is sealed.
func (a *attempt) lost(ctx context.Context, reason outcome.Reason, class Class, err error) Result {
	switch {
	case expired(ctx, a.request):
		return unknown(TimedOut, outcome.Timeout, "no answer by the deadline")
	case ctx.Err() != nil:
		return unknown(Cancelled, outcome.Cancelled, "cancelled after sending")
	case a.link.refuses(a.upstream.Address):
		return unknown(Died, reason, err.Error())
	default:
		return unknown(class, reason, err.Error())
	}
}

// expired tells whether the deadline has passed by the context or by the clock, whichever is noticed first.
func expired(ctx context.Context, r *request.Request) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(r.Deadline)
}
