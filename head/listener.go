package head

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// acceptGrace is the time for which a connection is left open for its first request, whatever the number of connections.
	acceptGrace = 500 * time.Millisecond
	// retryAfter is the delay after which other heads have given way or have been served.
	retryAfter = stallTime
)

// statuses holds the status lines of the answers to heads that are refused before they are complete, so that their requests can't have
// run. A head that is cut off for another one gets no answer.
var statuses = map[Reason]string{
	TooLarge: "431 Request Header Fields Too Large",
	NoMemory: "503 Service Unavailable",
	TooMany:  "503 Service Unavailable",
}

// answer returns the answer to a head that is refused.
func answer(r Reason) string {
	retry := ""
	if r != TooLarge {
		// Jitter keeps callers that were refused at the same time from retrying at the same time.
		retry = fmt.Sprintf("Retry-After: %.3f\r\n", retryAfter.Seconds()*(0.75+0.5*rand.Float64()))
	}
	return "HTTP/1.1 " + statuses[r] + "\r\n" + retry + "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// Listener accepts connections for an HTTP server and bounds the heads that are read from them. It is safe for concurrent use.
type Listener struct {
	net.Listener
	budget *Budget
	// connections is the largest number of open connections.
	connections int
	// maxBytes returns the largest size of a head in bytes.
	maxBytes func() int64

	mu   sync.Mutex
	open int
	// unfinished holds the connections without a complete head that were not idle between two requests, the longest first.
	unfinished list.List
}

// Listen returns a listener that accepts connections of l, at most the given number at once, with heads of about maxBytes.
func (b *Budget) Listen(l net.Listener, connections int, maxBytes func() int64) *Listener {
	return &Listener{Listener: l, budget: b, connections: connections, maxBytes: maxBytes}
}

// Accept waits for the next connection. Above the bound on connections, it closes the one that has been without a complete head for the
// longest time, or the new one if all are too young for that.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l}
		stalled, ok := l.add(c, time.Now())
		if stalled != nil {
			stalled.cutOff()
		}
		if ok {
			return c, nil
		}
		c.refuse(TooMany)
	}
}

// add adds the connection if there is room, or the one returned gives way.
func (l *Listener) add(c *conn, now time.Time) (stalled *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.connections {
		front := l.unfinished.Front()
		if front == nil {
			return nil, false
		}
		stalled = front.Value.(*conn)
		if now.Sub(stalled.since) < acceptGrace {
			return nil, false
		}
		l.forget(stalled)
	}
	l.open++
	c.isCounted, c.since = true, now
	c.element = l.unfinished.PushBack(c)
	return stalled, true
}

// Len returns the number of open connections.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// ConnState notes whether a request is being read from a connection. It is meant for the field of that name of http.Server.
func (l *Listener) ConnState(server net.Conn, state http.ConnState) {
	c, ok := server.(*conn)
	switch {
	case !ok:
	case state == http.StateActive:
		c.setComplete()
	case state == http.StateIdle:
		c.setIdle()
	}
}

// Unwrap returns the connection that the listener accepted from the one below it.
func Unwrap(c net.Conn) net.Conn {
	if c, ok := c.(*conn); ok {
		return c.Conn
	}
	return c
}

// setUnfinished notes whether the connection has an unfinished head.
func (l *Listener) setUnfinished(c *conn, isUnfinished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element != nil && !isUnfinished {
		l.unfinished.Remove(c.element)
		c.element = nil
	}
	if c.element == nil && isUnfinished && c.isCounted {
		c.since, c.element = time.Now(), l.unfinished.PushBack(c)
	}
}

// remove forgets a connection that closes.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

// forget is remove with mu locked; further calls do nothing.
func (l *Listener) forget(c *conn) {
	if c.element != nil {
		l.unfinished.Remove(c.element)
		c.element = nil
	}
	if c.isCounted {
		c.isCounted = false
		l.open--
	}
}
