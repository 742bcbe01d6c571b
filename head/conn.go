package head

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"sync"
	"time"
)

// readSize is the size of the buffer through which the HTTP server reads heads. Reads that are larger have no part of a head.
const readSize = 4 << 10

// conn is a connection that counts what is read of a head. The HTTP server reads from it in one goroutine at a time.
type conn struct {
	net.Conn
	listener *Listener
	// hold belongs to the budget, and the following three to the listener, each under its lock.
	hold      hold
	isCounted bool
	since     time.Time
	element   *list.Element

	mu sync.Mutex
	// isComplete is true from the end of a head until the answer to its request has been sent, isClosed once the connection closes.
	isComplete, isClosed bool
	// hasBegun is true once a byte of the head has been read.
	hasBegun bool
	// head counts what was read of the head, and ahead what may have been read of the one after it: at most readSize bytes, which may also
	// be the end of a body.
	head, ahead count
	// size is the memory held for the head.
	size int64
}

// count is a number of bytes and of lines.
type count struct{ bytes, lines int64 }

func countOf(b []byte) count {
	return count{int64(len(b)), int64(bytes.Count(b, []byte{'\n'}))}
}

func (c count) plus(other count) count {
	return count{c.bytes + other.bytes, c.lines + other.lines}
}

// cost returns the memory that a head takes and that is counted.
func (c count) cost() int64 {
	return max(c.bytes*byteCost+c.lines*lineCost-freeCost, 0)
}

// Read reads from the connection. If the head that is being read is refused, it answers and returns io.EOF, upon which the HTTP server
// closes the connection without an answer of its own.
func (c *conn) Read(b []byte) (int, error) {
	if !c.handle(c.check()) {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if !c.handle(c.add(b[:n], len(b))) {
		return 0, io.EOF
	}
	return n, err
}

// verdict is what follows from the size of a head: other connections to cut off, and the reason for a refusal, if any.
type verdict struct {
	stalled []*conn
	reason  Reason
}

// handle carries out the verdict and reports whether the head is read on. It must be called without locks, because it closes
// connections.
func (c *conn) handle(v verdict) bool {
	for _, other := range v.stalled {
		other.cutOff()
	}
	if v.reason != "" {
		c.refuse(v.reason)
	}
	return v.reason == ""
}

// check returns the verdict before more of the head is read. All that was counted before belongs to the head, because it isn't complete.
func (c *conn) check() verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isComplete:
		return verdict{}
	case c.head.bytes >= c.listener.maxBytes():
		return verdict{reason: TooLarge}
	default:
		return c.charge()
	}
}

// add counts bytes that were read into a buffer of the size, and returns the verdict.
func (c *conn) add(b []byte, size int) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isComplete {
		switch {
		case size > readSize:
			c.ahead = count{}
		case size == 1:
			// The HTTP server reads one byte at a time to find out whether the caller has left.
			c.ahead = c.ahead.plus(countOf(b))
		default:
			c.ahead = countOf(b)
		}
		return verdict{}
	}
	if !c.hasBegun {
		c.hasBegun = true
		c.listener.setUnfinished(c, true)
		// The HTTP server skips a few line ends before a request.
		b = bytes.TrimLeft(b, "\r\n")
	}
	end := headEnd(b)
	c.head, c.ahead = c.head.plus(countOf(b[:end])), countOf(b[end:])
	return c.charge()
}

// headEnd returns the index after the first empty line, or the length if there is none.
func headEnd(b []byte) int {
	end := len(b)
	for _, line := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b[:end], []byte(line)); i >= 0 {
			end = i + len(line)
		}
	}
	return end
}

// charge takes memory for the head.
func (c *conn) charge() verdict {
	size := c.head.cost()
	if size <= c.size || c.isClosed {
		return verdict{}
	}
	v := c.listener.budget.grow(c, size, time.Now())
	if v.reason == "" {
		c.size = size
	}
	return v
}

// setComplete notes that the head has been read.
func (c *conn) setComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isComplete, c.size = true, c.head.cost()
	c.listener.setUnfinished(c, false)
	c.listener.budget.finish(&c.hold, c.size)
}

// setIdle notes that the request has ended. What was read ahead may be the begin of the next head.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isComplete, c.hasBegun, c.size = false, false, 0
	c.head, c.ahead = c.ahead, count{}
	c.listener.budget.release(&c.hold)
}

// refuse answers a head that isn't complete, and closes the connection. The HTTP server may read again after that, which does nothing.
func (c *conn) refuse(r Reason) {
	if c.hasClosed() {
		return
	}
	// An error means that the connection is closed.
	_, _ = io.WriteString(c.Conn, answer(r))
	c.end(r)
}

func (c *conn) hasClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosed
}

// cutOff closes a connection whose head isn't complete. It sends no answer, because the head may be complete by now.
func (c *conn) cutOff() {
	c.end(Stalled)
}

func (c *conn) end(r Reason) {
	c.listener.budget.onRefusal(r, c.RemoteAddr().String())
	// An error means that the connection is closed already.
	_ = c.Close()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.remove(c)
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	c.listener.budget.release(&c.hold)
	return err
}

// CloseWrite closes the sending side, if the connection has one. The HTTP server does so after an early error response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
