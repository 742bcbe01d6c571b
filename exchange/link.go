package exchange

import (
	"context"
	"net"
	"net/netip"
	"slices"
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
	// keepAliveMargin is kept from the idle time that an upstream states, which it rounds to whole seconds.
	keepAliveMargin = 1500 * time.Millisecond
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

// link holds the connections to the upstreams of one service.
type link struct {
	dialer net.Dialer

	mu    sync.Mutex
	share int
	// open counts the places taken at each address, by connections in use, idle or just closed.
	open map[string]int
	// idle holds the connections that wait for a request, the last used at the end.
	idle    map[string][]*conn
	changed chan struct{}
	waiting int
	closed  bool
}

func newLink() *link {
	return &link{
		dialer: net.Dialer{Timeout: dialTimeout}, open: make(map[string]int), idle: make(map[string][]*conn),
		changed: make(chan struct{}),
	}
}

// use sets the share of connections to each upstream. Idle connections of another share are closed.
func (l *link) use(share int) {
	l.mu.Lock()
	if l.share == share {
		l.mu.Unlock()
		return
	}
	l.share = share
	old := l.takeIdle()
	l.wake()
	l.mu.Unlock()
	closeAll(old)
}

// takeIdle removes the idle connections; the caller holds mu.
func (l *link) takeIdle() []*conn {
	var all []*conn
	for _, some := range l.idle {
		all = append(all, some...)
	}
	clear(l.idle)
	return all
}

// closeAll closes connections; this gives their places back, which takes the mu of their link.
func closeAll(all []*conn) {
	for _, c := range all {
		c.expiry.Stop()
		_ = c.Close()
	}
}

// get returns an idle connection that the upstream has not closed, or a new one within the share.
func (l *link) get(ctx context.Context, address string) (c *conn, reused bool, err error) {
	for {
		c, changed := l.next(address)
		switch {
		case c != nil && c.isQuiet():
			return c, true, nil
		case c != nil:
			_ = c.Close()
			continue
		case changed == nil:
			c, err := l.connect(ctx, address)
			return c, false, err
		}
		err := wait(ctx, changed)
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
		if err != nil {
			return nil, false, err
		}
	}
}

// next returns an idle connection, or takes a place for a new one, or returns the channel to wait on.
func (l *link) next(address string) (*conn, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if some := l.idle[address]; len(some) > 0 {
		c := some[len(some)-1]
		l.idle[address] = some[:len(some)-1]
		c.expiry.Stop()
		return c, nil
	}
	if l.open[address] < l.share {
		l.open[address]++
		return nil, nil
	}
	l.waiting++
	return nil, l.changed
}

// wait returns when the channel is closed, or the error of ctx.
func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "no connection of the share is free")
	}
}

// put keeps a connection for the next request.
func (l *link) put(c *conn, idle time.Duration) {
	if idle == 0 || idle > idleTimeout {
		idle = idleTimeout
	}
	l.mu.Lock()
	if l.closed || l.open[c.address] > l.share {
		l.mu.Unlock()
		_ = c.Close()
		return
	}
	l.idle[c.address] = append(l.idle[c.address], c)
	if c.expiry == nil {
		c.expiry = time.AfterFunc(idle, func() { l.expire(c) })
	} else {
		c.expiry.Reset(idle)
	}
	if l.waiting > 0 {
		l.wake()
	}
	l.mu.Unlock()
}

// expire closes a connection that is still idle.
func (l *link) expire(c *conn) {
	l.mu.Lock()
	i := slices.Index(l.idle[c.address], c)
	if i >= 0 {
		l.idle[c.address] = slices.Delete(l.idle[c.address], i, i+1)
		if len(l.idle[c.address]) == 0 {
			delete(l.idle, c.address)
		}
	}
	l.mu.Unlock()
	if i >= 0 {
		_ = c.Close()
	}
}

// wake lets the waiting dials look again; the caller holds mu.
func (l *link) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) release(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address]--; l.open[address] == 0 {
		delete(l.open, address)
	}
	l.wake()
}

// connect connects to an IP address and port on a place that was taken; names are refused, because nothing resolves them.
func (l *link) connect(ctx context.Context, address string) (*conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		l.release(address)
		return nil, &dialError{cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	inner, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		l.release(address)
		return nil, &dialError{cause: err}
	}
	return newConn(inner, address, func() {
		time.AfterFunc(closeGrace, func() { l.release(address) })
	}), nil
}

// refuses tells whether the address refuses a new connection.
func (l *link) refuses(address string) bool {
	time.Sleep(checkPause)
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	// Idle connections that the upstream closed hold places that the check may need.
	l.sweep(address)
	if err := l.place(ctx, address); err != nil {
		return false
	}
	c, err := l.connect(ctx, address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// sweep closes the idle connections to the address that the upstream closed.
func (l *link) sweep(address string) {
	l.mu.Lock()
	var broken []*conn
	l.idle[address] = slices.DeleteFunc(l.idle[address], func(c *conn) bool {
		if c.isQuiet() {
			return false
		}
		broken = append(broken, c)
		return true
	})
	l.mu.Unlock()
	closeAll(broken)
}

// place waits for a place for a new connection.
func (l *link) place(ctx context.Context, address string) error {
	for {
		l.mu.Lock()
		if l.open[address] < l.share {
			l.open[address]++
			l.mu.Unlock()
			return nil
		}
		changed := l.changed
		l.mu.Unlock()
		if err := wait(ctx, changed); err != nil {
			return err
		}
	}
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	idle := l.takeIdle()
	l.mu.Unlock()
	closeAll(idle)
}
