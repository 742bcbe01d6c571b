package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

const (
	// maxSyncBody is the largest body in bytes that is written before the answer is read. It is below the sizes of socket
	// buffers, so that an upstream that answers without reading the body doesn't block the write.
	maxSyncBody = 16 << 10
	// callerGrace is the time for which an answer that has begun is still read after its caller has left, so that a short one
	// doesn't cost the connection. The upstream's silence doesn't count: it may be at work on a request that runs only once.
	callerGrace = 250 * time.Millisecond
	// minRate is the rate of a body, in bytes per second, below which an answer that is broken off counts as a failure of its
	// upstream. Sound upstreams send at the rate of the link.
	minRate = 1 << 10
	// maxInterim is the maximum number of responses read until the final one; those before it are informational.
	maxInterim = 5
)

var errInterim = errors.New("too many informational answers")

// kind is the kind of an exchange.
type kind int

const (
	// kindRequest marks a request of a caller, whose answer has to echo its identifier.
	kindRequest kind = iota
	// kindPoll marks a poll, and kindProbe a poll on a new connection.
	kindPoll
	kindProbe
)

// attempt sends a request over one connection at a time.
type attempt struct {
	pool      *connPool
	dialect   *Dialect
	bodies    *buffer.Budget
	caller    context.Context
	request   *request.Request
	upstream  declaration.Upstream
	maxAnswer int
	kind      kind
	isPaused  func(upstream string) bool
	observer  Observer

	conn    *conn
	reused  bool
	sending *sending
	// grace is what is left of callerGrace.
	grace time.Duration
	// begun is the time of the first byte of the message being read, and endMessage ends the bound on it.
	begun      time.Time
	endMessage func()
}

// run sends the request and returns the result; stale reports whether a reused connection was broken and no byte of the
// request was written.
func (a *attempt) run(ctx context.Context) (res Result, stale bool) {
	a.conn, a.reused, a.grace = nil, false, callerGrace
	head, err := a.head()
	if err != nil {
		return unsent(outcome.BadRequest, err.Error()), false
	}
	if err := a.connect(ctx); err != nil {
		return a.resultWithoutAnswer(ctx, err)
	}
	if a.isUnwanted() {
		a.pool.put(a.conn, 0)
		return unsent(outcome.Refused, errPaused.Error()), false
	}
	if a.kind != kindRequest {
		a.observer.Polled(a.upstream.Address)
	}
	a.conn.begin(a.request.Deadline)
	// The end of the context interrupts reads and writes in progress. The connection is not reused after that.
	c := a.conn
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(attemptCtx, c.interrupt)
	resp, err := a.roundTrip(attemptCtx, cancel, head)
	if err != nil {
		stop()
		return a.resultWithoutAnswer(ctx, err)
	}
	defer a.endMessage()
	res = a.readAnswer(attemptCtx, resp)
	if stop() && a.sending.isWhole() && !resp.Close && c.reader.Buffered() == 0 && !c.isAborted() {
		a.pool.put(c, keepAliveTimeout(resp.Header))
	} else {
		_ = c.Close()
	}
	return res, false
}

// connect sets conn and reused.
func (a *attempt) connect(ctx context.Context) (err error) {
	if a.kind == kindProbe {
		a.conn, err = a.pool.connectBeyondShare(ctx, a.upstream.Address)
		return err
	}
	a.conn, a.reused, err = a.pool.get(ctx, a.caller, a.upstream.Address, a.isUnwanted)
	return err
}

// isUnwanted reports whether the upstream wants no requests at present.
func (a *attempt) isUnwanted() bool {
	return a.isPaused != nil && a.isPaused(a.upstream.Name)
}

// roundTrip writes the request, sets sending and reads the headers of the answer.
func (a *attempt) roundTrip(ctx context.Context, cancel context.CancelFunc, head []byte) (*http.Response, error) {
	s := &sending{done: make(chan struct{})}
	a.sending = s
	c, body := a.conn, a.request.Body
	write := func() {
		s.err = c.writeRequest(head, body)
		close(s.done)
	}
	if len(body) > maxSyncBody {
		go write()
	} else if write(); s.err != nil {
		return nil, s.err
	}
	return a.receive(ctx, cancel)
}

// receive reads the headers of the answer. It reads and drops answers to other requests that precede it, up to the
// dialect's limit, and informational ones. The bound on the time to read the answer stays in force.
func (a *attempt) receive(ctx context.Context, cancel context.CancelFunc) (*http.Response, error) {
	for skipped, interim := 0, 0; ; {
		if err := a.conn.awaitResponse(); err != nil {
			return nil, err
		}
		a.observer.Heard()
		a.beginMessage(ctx, cancel)
		resp, err := a.conn.readResponse(a.request.Method)
		switch {
		case err != nil:
		case isInformational(resp):
			if interim++; interim == maxInterim {
				err = errInterim
			}
		case skipped == a.dialect.MaxMismatched || !a.namesOther(resp):
			return resp, nil
		default:
			skipped, interim = skipped+1, 0
			// After an error, the body stays open, because its Close would read the rest of it.
			if _, err = a.readBody(ctx, resp); err == nil {
				_ = resp.Body.Close()
			}
		}
		a.endMessage()
		if err != nil {
			return nil, err
		}
	}
}

// beginMessage bounds the time to read a message whose first byte has arrived, until endMessage is called: if the caller has
// left, it is cancelled after the grace.
func (a *attempt) beginMessage(ctx context.Context, cancel context.CancelFunc) {
	a.begun = time.Now()
	begun, grace := a.begun, a.grace
	ctx, end := context.WithCancel(ctx)
	stop := context.AfterFunc(a.caller, func() {
		if backoff.Sleep(ctx, grace) {
			cancel()
		}
	})
	a.endMessage = func() {
		if stop(); a.caller.Err() != nil {
			a.grace -= time.Since(begun)
		}
		end()
	}
}

func isInformational(resp *http.Response) bool {
	return resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols
}

// resultWithoutAnswer returns the result of a request that received no answer.
func (a *attempt) resultWithoutAnswer(ctx context.Context, err error) (res Result, stale bool) {
	if a.conn != nil && a.conn.abort() {
		return a.resultAfterWrite(ctx, outcome.ConnectionLost, Lost, err), false
	}
	switch {
	case isExpired(ctx, a.request):
		return unsent(outcome.DeadlineUnreachable, "deadline passed before a connection was free"), false
	case errors.Is(err, errPaused):
		return unsent(outcome.Refused, err.Error()), false
	case ctx.Err() != nil || errors.Is(err, context.Canceled):
		return unsent(outcome.Cancelled, "cancelled before sending"), false
	default:
		return unsent(outcome.Unreachable, err.Error()), a.reused
	}
}

// resultAfterWrite returns the result of a request of which bytes were written and whose connection was aborted.
func (a *attempt) resultAfterWrite(ctx context.Context, reason outcome.Reason, class Class, err error) Result {
	switch {
	case isExpired(ctx, a.request):
		return unknown(TimedOut, outcome.Timeout, "no answer by the deadline")
	case ctx.Err() != nil:
		return unknown(Cancelled, outcome.Cancelled, "cancelled after sending")
	case a.pool.refusesConnection(a.upstream.Address):
		return unknown(Died, reason, err.Error())
	default:
		return unknown(class, reason, err.Error())
	}
}

// isExpired reports whether the deadline has passed according to the context or to the clock, whichever shows it first.
func isExpired(ctx context.Context, r *request.Request) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(r.Deadline)
}
