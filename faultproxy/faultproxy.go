package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is the behaviour of a link toward the connections through it.
type Mode int

// Modes of links.
const (
	// Forwarding forwards all bytes.
	Forwarding Mode = iota
	// Slow forwards bytes after a delay.
	Slow
	// Blackhole holds back all bytes, in both directions.
	Blackhole
	// BlockToClient holds back only the bytes toward the client.
	BlockToClient
	// Reset resets the open connections and all new ones.
	Reset
)

const (
	// slowDelay is the delay that a slow link adds to each chunk of bytes.
	slowDelay = 150 * time.Millisecond
	// chunkSize is the maximum number of bytes forwarded at once.
	chunkSize = 16 << 10
)

// Proxy is a proxy with one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	mode    Mode
	closed  bool
	open    map[*net.TCPConn]bool
}

// New returns a running link to the target, an IP address and port, in the mode Forwarding.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	link := &Proxy{listener: l, target: target, open: make(map[*net.TCPConn]bool)}
	link.changed = sync.NewCond(&link.mu)
	go link.accept()
	return link, nil
}

// Address returns the address on which the link accepts connections to the target.
func (l *Proxy) Address() string { return l.listener.Addr().String() }

// Set changes the mode. Bytes that were held back are forwarded once the mode allows it.
func (l *Proxy) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m == Reset {
		l.resetAll()
	}
	l.changed.Broadcast()
}

// Close stops the link and resets its connections.
func (l *Proxy) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.resetAll()
	l.changed.Broadcast()
}

// resetAll resets the open connections; the caller holds mu.
func (l *Proxy) resetAll() {
	for c := range l.open {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(l.open, c)
	}
}

func (l *Proxy) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c.(*net.TCPConn))
	}
}

// serve connects to the target and forwards bytes in both directions until the connections end.
func (l *Proxy) serve(client *net.TCPConn) {
	c, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := c.(*net.TCPConn)
	if !l.add(client, server) {
		return
	}
	go l.forward(server, client, func(m Mode) bool { return m == Blackhole })
	l.forward(client, server, func(m Mode) bool { return m == Blackhole || m == BlockToClient })
}

// add adds a pair of connections and returns true. If the mode is Reset or the link is closed, it resets the connections and
// returns false.
func (l *Proxy) add(client, server *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[client], l.open[server] = true, true
	if l.mode == Reset || l.closed {
		l.resetAll()
		return false
	}
	return true
}

// forward copies bytes from one connection to the other, and holds them back while blocks reports true for the mode. The end
// of the input is forwarded too; after an error, or once both directions have ended, both connections are closed.
func (l *Proxy) forward(to, from *net.TCPConn, blocks func(Mode) bool) {
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.wait(blocks) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			l.closeDirection(to, from, errors.Is(err, io.EOF))
			return
		}
	}
}

// wait waits while the mode blocks the direction, or for the delay of a slow link, and reports whether to forward the bytes.
func (l *Proxy) wait(blocks func(Mode) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for blocks(l.mode) && !l.closed {
		l.changed.Wait()
	}
	if l.mode == Slow && !l.closed {
		l.mu.Unlock()
		time.Sleep(slowDelay)
		l.mu.Lock()
	}
	return !l.closed && l.mode != Reset
}

// closeDirection ends one direction. If isEOF is true, it closes only the write side of the other connection while that
// connection is still open in its own direction.
func (l *Proxy) closeDirection(to, from *net.TCPConn, isEOF bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, from)
	if isEOF && l.open[to] {
		_ = to.CloseWrite()
		return
	}
	delete(l.open, to)
	_ = to.Close()
	_ = from.Close()
}
