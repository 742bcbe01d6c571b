package keepalive

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// lastRead is the time for a last read of an expired connection. It finds a request that has arrived and not been read yet,
// as after the process was paused.
const lastRead = time.Millisecond

// firstBytesTimeout bounds the time from the first byte of a request to the next. The timeout of the HTTP server for the head
// of a request starts only with its fourth byte.
const firstBytesTimeout = 10 * time.Second

// writeTimeout bounds the time in which a caller reads a part of writePart bytes of an answer.
const (
	writeTimeout = 10 * time.Second
	writePart    = 64 << 10
)

// conn is a connection that knows whether a request is being read from it.
type conn struct {
	net.Conn
	listener *Listener
	// raw is the socket of the connection, or nil if it has none.
	raw syscall.RawConn

	mu sync.Mutex
	// idle is true until the first byte of a request has been read, and again from the end of its answer on.
	idle      bool
	idleSince time.Time
	// answered is true once a request has been answered.
	answered bool
	// expired is true once the pending read of the idle connection has been ended.
	expired bool
	// timeout is the time for which the caller may leave the connection idle, or 0 for no limit.
	timeout time.Duration
}

// Read reads from the connection. The first byte of a request ends the idle time, and the request is served also if the
// connection has expired meanwhile.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isExpired() {
		if err := c.Conn.SetReadDeadline(time.Now().Add(lastRead)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	if activeErr := c.setReading(); err == nil {
		err = activeErr
	}
	return n, err
}

// Write writes to the connection. It fails if the caller takes no part of the bytes for writeTimeout.
func (c *conn) Write(b []byte) (n int, err error) {
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return n, err
		}
		written, err := c.Conn.Write(b[n:min(n+writePart, len(b))])
		if n += written; err != nil || n == len(b) {
			return n, err
		}
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, if the connection has one. The HTTP server does so after an early error response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince, c.answered = true, now, true
}

// setReading notes that bytes have been read, and bounds the time for those that follow the first ones of a request.
func (c *conn) setReading() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return nil
	}
	c.idle, c.expired = false, false
	return c.Conn.SetReadDeadline(time.Now().Add(firstBytesTimeout))
}

// setActive notes that a request is being served, and lets reads succeed again if the connection has expired.
func (c *conn) setActive() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if !c.expired {
		return nil
	}
	c.expired = false
	return c.Conn.SetReadDeadline(time.Time{})
}

func (c *conn) setTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeout = d
}

// expireIf ends the pending read if the connection is idle and the function returns true, and reports whether it is the
// first time. The HTTP server closes a connection whose read fails between two requests.
func (c *conn) expireIf(isExpired func(*conn) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || !isExpired(c) {
		return false
	}
	first := !c.expired
	// An error means that the connection is closed already.
	c.expired = c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
	return first && c.expired
}
