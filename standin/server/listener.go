package server

import (
	"net"
	"sync"
	"time"
)

// listener counts connections and charges the cost of each new one.
type listener struct {
	net.Listener
	cost time.Duration

	mu        sync.Mutex
	open, max int
	total     int
}

// Accept returns the next connection with its cost still to be paid.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.open++
	l.max = max(l.max, l.open)
	return &conn{Conn: c, listener: l}, nil
}

// conn pays the cost of a new connection before its first byte is read.
type conn struct {
	net.Conn
	listener *listener
	paid     sync.Once
	closed   sync.Once
}

// Read waits for the cost of the connection once and then reads.
func (c *conn) Read(b []byte) (int, error) {
	c.paid.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(b)
}

// Close closes the connection and counts it once.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
