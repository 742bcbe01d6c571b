package flood

import (
	"net"
	"sync"
)

// Listener accepts connections in memory, for tests with a paused clock.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns a listener without connections.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the caller's side of a new connection, once it has been accepted.
func (l *Listener) Dial() net.Conn {
	caller, server := net.Pipe()
	l.conns <- server
	return caller
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address without meaning.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
