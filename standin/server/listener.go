package server

import (
	"net"
	"sync"
	"time"
)

// listener counts connections and delays the first read of each.
type listener struct {
	net.Listener
	readDelay time.Duration

	mu            sync.Mutex
	open, maxOpen int
	total         int
}

// Accept returns the next connection, whose first read is delayed.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.open++
	l.maxOpen = max(l.maxOpen, l.open)
	return &conn{Conn: c, listener: l}, nil
}

// conn is a connection whose first read is delayed.
type conn struct {
	net.Conn
	listener  *listener
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read waits for the delay before the first read and then reads.
func (c *conn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.readDelay) })
	return c.Conn.Read(b)
}

// Close closes the connection and updates the count of open connections once.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
