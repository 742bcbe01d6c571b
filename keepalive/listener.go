package keepalive

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// slack is the time for which a connection stays open after the announced timeout, because a request may be on its way.
	slack = 2 * time.Second
	// firstRequestGrace is the time for which CloseIdle leaves a new connection open for its first request.
	firstRequestGrace = 500 * time.Millisecond
)

// Listener accepts connections for an HTTP server and closes those that are idle. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a listener that accepts the connections of l.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, idle: true, idleSince: time.Now()}
	if s, ok := inner.(syscall.Conn); ok {
		// An error means that the connection is closed already.
		c.raw, _ = s.SyscallConn()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Len returns the number of open connections.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext adds the connection to the context of its requests. It is meant for the field of that name of http.Server.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState notes whether a connection waits for its next request. It is meant for the field of that name of http.Server.
func (l *Listener) ConnState(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	switch {
	case !ok:
	case state == http.StateIdle:
		c.setIdle(time.Now())
	case state == http.StateActive:
		// A request that was read together with the one before it is active without a read of its own. An error means that
		// the connection is closed.
		_ = c.setActive()
	}
}

// Announce adds a Keep-Alive header to the answer to r, so that the caller uses its connection again only within the
// timeout, which is rounded up to whole seconds. A timeout of 0 or less stands for no limit.
func Announce(r *http.Request, h http.Header, timeout time.Duration) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return
	}
	seconds := (timeout + time.Second - 1) / time.Second
	c.setTimeout(seconds * time.Second)
	if seconds > 0 {
		h.Set("Keep-Alive", "timeout="+strconv.FormatInt(int64(seconds), 10))
	}
}

// Break closes the connection of the request with the context, in the middle of its answer if need be.
func Break(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		// An error means that the connection is closed already.
		_ = c.Close()
	}
}

// CloseExpired closes the connections that have been idle for longer than announced to their callers, and returns their
// number.
func (l *Listener) CloseExpired(now time.Time) int {
	return l.closeIf(func(c *conn) bool { return c.timeout > 0 && now.Sub(c.idleSince) > c.timeout+slack })
}

// CloseIdle closes the connections that wait for a request, and returns their number.
func (l *Listener) CloseIdle(now time.Time) int {
	return l.closeIf(func(c *conn) bool { return c.answered || now.Sub(c.idleSince) > firstRequestGrace })
}

// closeIf closes the idle connections for which the function, called with their mu locked, returns true.
func (l *Listener) closeIf(isExpired func(*conn) bool) (closed int) {
	for _, c := range l.list() {
		if c.expireIf(isExpired) {
			closed++
		}
	}
	return closed
}

// list returns the open connections.
func (l *Listener) list() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
