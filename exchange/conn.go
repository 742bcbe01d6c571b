package exchange

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn counts the bytes written, and can be sealed so that the count is final.
type conn struct {
	net.Conn
	address string
	release func()
	closed  sync.Once
	raw     syscall.RawConn
	// expiry closes the connection when it has been idle for long; the link sets it.
	expiry *time.Timer

	out *bufio.Writer
	in  *bufio.Reader
	// head limits what is read from the connection until the headers of an answer are complete.
	head io.LimitedReader

	mu       sync.Mutex
	written  int64
	base     int64
	sealed   bool
	deadline time.Time
}

// newConn returns the connection; release is called once when it closes.
func newConn(inner net.Conn, address string, release func()) *conn {
	c := &conn{Conn: inner, address: address, release: release}
	if s, ok := inner.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.out = bufio.NewWriter(c)
	c.head = io.LimitedReader{R: inner}
	c.in = bufio.NewReader(&c.head)
	return c
}

// isQuiet tells whether an idle connection is open and has nothing to read. An upstream that closed it, or that sent more
// than its answer, would cost the next request.
func (c *conn) isQuiet() bool {
	if c.raw == nil {
		return false
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
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

// isSealed tells whether the connection was sealed.
func (c *conn) isSealed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed
}

// send writes the whole request.
func (c *conn) send(h *http.Request) error {
	c.out.Reset(c)
	if err := h.Write(c.out); err != nil {
		return err
	}
	return c.out.Flush()
}

// receive reads the headers of the final answer to the request.
func (c *conn) receive(h *http.Request) (*http.Response, error) {
	for range maxInterim {
		c.head.N = maxHeaderBytes
		resp, err := http.ReadResponse(c.in, h)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.head.N = math.MaxInt64
			return resp, nil
		}
	}
	return nil, errInterim
}
