package exchange

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout is long against the 1 ms of a connection and short against the deadlines of requests.
	dialTimeout = time.Second
	// idleTimeout is below the 60 s after which servers commonly close idle connections, so that a request rarely
	// meets a connection that is being closed.
	idleTimeout = 30 * time.Second
	// checkTimeout and checkPause bound the check whether an upstream has died; the pause lets a process that is
	// ending close its listener too.
	checkTimeout = 100 * time.Millisecond
	checkPause   = 2 * time.Millisecond
	// closeGrace keeps the place of a closed connection, because the upstream counts it until it sees the close. Links
	// take about 5 ms one way.
	closeGrace = 10 * time.Millisecond
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
)

// dialError marks a failure before any connection was there.
type dialError struct {
	cause error
}

// Error returns the text of the cause.
func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

// link holds the connections to the upstreams of one service. Places are counted apart from the transport, because the
// transport is replaced when the share changes and the connections of both count together.
type link struct {
	dialer net.Dialer

	mu        sync.Mutex
	share     int
	open      map[string]int
	changed   chan struct{}
	transport *http.Transport
}

func newLink() *link {
	return &link{
		dialer: net.Dialer{Timeout: dialTimeout}, open: make(map[string]int), changed: make(chan struct{}),
	}
}

// use returns the transport for the share of connections to each upstream.
func (l *link) use(share int) *http.Transport {
	l.mu.Lock()
	if l.share == share {
		defer l.mu.Unlock()
		return l.transport
	}
	old := l.transport
	l.share = share
	l.wake()
	l.transport = &http.Transport{
		Proxy:                  nil,
		DialContext:            l.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        share,
		MaxIdleConnsPerHost:    share,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	fresh := l.transport
	l.mu.Unlock()
	// Closing a connection gives its place back, which takes mu.
	if old != nil {
		old.CloseIdleConnections()
	}
	return fresh
}

// wake lets the waiting dials look again; the caller holds mu.
func (l *link) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// acquire waits for a place among the connections to the address.
func (l *link) acquire(ctx context.Context, address string) error {
	for {
		l.mu.Lock()
		if l.open[address] < l.share {
			l.open[address]++
			l.mu.Unlock()
			return nil
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "no connection of the share is free")
		}
	}
}

func (l *link) release(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address]--; l.open[address] == 0 {
		delete(l.open, address)
	}
	l.wake()
}

// dial connects to an IP address and port within the share; names are refused, because nothing resolves them.
func (l *link) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, &dialError{cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := l.acquire(ctx, address); err != nil {
		return nil, &dialError{cause: err}
	}
	inner, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		l.release(address)
		return nil, &dialError{cause: err}
	}
	return &conn{Conn: inner, release: func() {
		time.AfterFunc(closeGrace, func() { l.release(address) })
	}}, nil
}

// refuses tells whether the address refuses a new connection.
func (l *link) refuses(address string) bool {
	time.Sleep(checkPause)
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	c, err := l.dial(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (l *link) close() {
	l.mu.Lock()
	transport := l.transport
	l.mu.Unlock()
	if transport != nil {
		transport.CloseIdleConnections()
	}
}
