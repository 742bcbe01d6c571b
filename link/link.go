package link

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is how a link treats the connections through it.
type Mode int

// Modes of a link.
const (
	// Sound passes all bytes on.
	Sound Mode = iota
	// Slow passes bytes on after a delay.
	Slow
	// Silent keeps all bytes back, in both directions.
	Silent
	// OneWay keeps back only the bytes towards the side that connected.
	OneWay
	// Reset resets the open connections and those that come.
	Reset
)

const (
	// slowDelay is added by a slow link to each chunk of bytes.
	slowDelay = 150 * time.Millisecond
	// chunk is the largest number of bytes that are passed on at once.
	chunk = 16 << 10
)

// Link is one proxy. It serves many goroutines.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	mode    Mode
	closed  bool
	open    map[*net.TCPConn]bool
}

// New returns a sound link to the target, an IP address and port.
func New(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	k := &Link{listener: l, target: target, open: make(map[*net.TCPConn]bool)}
	k.changed = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

// Address returns the address that stands for the target.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the mode. Bytes that were kept back go on when the mode allows it.
func (l *Link) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m == Reset {
		l.resetAll()
	}
	l.changed.Broadcast()
}

// Close ends the link and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.resetAll()
	l.changed.Broadcast()
}

// resetAll resets the open connections; the caller holds mu.
func (l *Link) resetAll() {
	for c := range l.open {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(l.open, c)
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(c.(*net.TCPConn))
	}
}

// join connects the target and passes bytes on until either side ends.
func (l *Link) join(near *net.TCPConn) {
	c, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := c.(*net.TCPConn)
	if !l.enter(near, far) {
		return
	}
	go l.pass(far, near, func(m Mode) bool { return m == Silent })
	l.pass(near, far, func(m Mode) bool { return m == Silent || m == OneWay })
}

// enter adds a pair of connections, or resets them if the mode says so.
func (l *Link) enter(near, far *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[near], l.open[far] = true, true
	if l.mode == Reset || l.closed {
		l.resetAll()
		return false
	}
	return true
}

// pass copies bytes from one connection to the other, and keeps them back while the mode is held. An end is passed on; after
// an error, or once both directions have ended, both connections are closed.
func (l *Link) pass(to, from *net.TCPConn, held func(Mode) bool) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.hold(held) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			l.leave(to, from, errors.Is(err, io.EOF))
			return
		}
	}
}

// hold waits while the mode is held, or for the delay of a slow link, and tells whether the link goes on.
func (l *Link) hold(held func(Mode) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for held(l.mode) && !l.closed {
		l.changed.Wait()
	}
	if l.mode == Slow && !l.closed {
		l.mu.Unlock()
		time.Sleep(slowDelay)
		l.mu.Lock()
	}
	return !l.closed && l.mode != Reset
}

// leave ends one direction.
func (l *Link) leave(to, from *net.TCPConn, isEnd bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, from)
	if isEnd && l.open[to] {
		_ = to.CloseWrite()
		return
	}
	delete(l.open, to)
	_ = to.Close()
	_ = from.Close()
}
