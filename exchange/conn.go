package exchange

import (
	"net"
	"os"
	"sync"
	"time"
)

// conn counts the bytes written, and can be sealed so that the count is final.
type conn struct {
	net.Conn
	release func()
	closed  sync.Once

	mu       sync.Mutex
	written  int64
	base     int64
	sealed   bool
	deadline time.Time
}

// arm begins the count for a request with the deadline.
func (c *conn) arm(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base = c.written
	c.deadline = deadline
}

// Write writes unless the connection is sealed or the request's deadline passed before its first byte. The latter guards
// against a process that was frozen between its decision to send and the sending.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.written == c.base && !time.Now().Before(c.deadline) {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	// The bytes count before they are written, so that a seal during the write doesn't miss them.
	c.written += int64(len(b))
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n < len(b) {
		c.mu.Lock()
		c.written -= int64(len(b) - n)
		c.mu.Unlock()
	}
	return n, err
}

// sent tells whether a byte of the present request may have been written.
func (c *conn) sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written != c.base
}

// seal closes the connection, and tells whether a byte of the present request may have been written; none will be after.
func (c *conn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	sent := c.written != c.base
	c.mu.Unlock()
	_ = c.Close()
	return sent
}

// Close closes the connection and gives its place back once.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.release)
	return err
}
