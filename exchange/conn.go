package exchange

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/response"
)

// conn is a connection that counts the bytes written. Once it is aborted, no more bytes are written and the count is final.
type conn struct {
	net.Conn
	address   string
	release   func()
	closeOnce sync.Once
	raw       syscall.RawConn
	// idleTimer closes the connection when its idle timeout has passed; the pool sets it.
	idleTimer *time.Timer

	writer *bufio.Writer
	reader *bufio.Reader
	// limited bounds the bytes read from the connection until the headers of an answer are complete.
	limited io.LimitedReader

	mu sync.Mutex
	// written counts the bytes written, and base is the count before the current request.
	written  int64
	base     int64
	aborted  bool
	deadline time.Time
}

// newConn wraps a connection; release is called once when it closes.
func newConn(inner net.Conn, address string, release func()) *conn {
	c := &conn{Conn: inner, address: address, release: release}
	if s, ok := inner.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.writer = bufio.NewWriter(c)
	c.limited = io.LimitedReader{R: inner}
	c.reader = bufio.NewReader(&c.limited)
	return c
}

// isReusable reports whether an idle connection is open and has nothing to read. If the upstream closed it, or sent more
// than its answer, the next request on it could be lost.
func (c *conn) isReusable() bool {
	if c.raw == nil {
		return false
	}
	reusable := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// begin starts the byte count of a new request with the deadline.
func (c *conn) begin(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base = c.written
	c.deadline = deadline
}

// Write writes the bytes unless the connection was aborted or the request's deadline passed before its first byte. The
// latter guards against a process that was suspended between the decision to send and the write.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.written == c.base && !time.Now().Before(c.deadline) {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	// The bytes are counted before they are written, so that an abort during the write doesn't miss them.
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

// interrupt ends the reads and writes in progress and makes further ones fail.
func (c *conn) interrupt() {
	_ = c.SetDeadline(time.Unix(1, 0))
}

// abort closes the connection and reports whether a byte of the current request may have been written. No byte is written
// after it returns.
func (c *conn) abort() bool {
	c.mu.Lock()
	c.aborted = true
	sent := c.written != c.base
	c.mu.Unlock()
	_ = c.Close()
	return sent
}

// Close closes the connection and calls release at the first call.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.release)
	return err
}

// isAborted reports whether the connection was aborted.
func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// writeRequest writes the whole request.
func (c *conn) writeRequest(head, body []byte) error {
	c.writer.Reset(c)
	if _, err := c.writer.Write(head); err != nil {
		return err
	}
	if _, err := c.writer.Write(body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// awaitResponse waits for the first byte of a response.
func (c *conn) awaitResponse() error {
	c.limited.N = maxHeaderBytes
	_, err := c.reader.Peek(1)
	return err
}

// heads holds buffers for the heads of responses.
var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readResponse reads the headers of a response, which may be informational, to a request with the method. It checks the bytes
// themselves, because the parsed headers no longer show all that is wrong with them.
func (c *conn) readResponse(method string) (*http.Response, error) {
	head := heads.Get().(*bytes.Buffer)
	defer heads.Put(head)
	head.Reset()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	_, _ = head.Write(buffered)
	c.limited.R = io.TeeReader(c.Conn, head)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.limited.R = c.Conn
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF):
		return nil, err
	case err != nil:
		// The error quotes the head, and callers may get its text.
		return nil, errors.WithStack(response.ErrHead)
	}
	// What is still buffered follows the head.
	if err := response.CheckHead(string(head.Bytes()[:head.Len()-c.reader.Buffered()])); err != nil {
		return nil, err
	}
	c.limited.N = math.MaxInt64
	return resp, nil
}

// bodyBytes returns the number of bytes that were read since the headers of the response, with which the first ones of the
// body may have come.
func (c *conn) bodyBytes() int64 {
	return math.MaxInt64 - c.limited.N
}
