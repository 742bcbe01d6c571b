package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is the behaviour of a proxy toward the connections through it.
type Mode int

// Modes of proxies.
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
	// slowDelay is the delay that a slow proxy adds to each chunk of bytes.
	slowDelay = 150 * time.Millisecond
	// chunkSize is the maximum number of bytes forwarded at once.
	chunkSize = 16 << 10
)

// Proxy is a proxy with one target. It is safe for concurrent use.
type Proxy struct {
	// address is the address of the listener, and target the one to connect to.
	address, target string

	mu       sync.Mutex
	listener net.Listener
	// held is the socket that holds the port while connections are refused, or 0.
	held    int
	changed *sync.Cond
	mode    Mode
	closed  bool
	open    map[*net.TCPConn]bool
}

// New returns a running proxy to the target, an IP address and port, in the mode Forwarding.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	p := &Proxy{listener: listener, address: listener.Addr().String(), target: target, open: make(map[*net.TCPConn]bool)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(listener)
	return p, nil
}

// Address returns the address on which the proxy accepts connections to the target.
func (p *Proxy) Address() string { return p.address }

// Set changes the mode. Bytes that were held back are forwarded once the mode allows it.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		p.resetAll()
	}
	p.changed.Broadcast()
}

// SetRefusing closes the listener, so that new connections are refused while the open ones live, or opens it again. It returns an
// error if the port has been taken meanwhile.
func (p *Proxy) SetRefusing(isRefusing bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isRefusing {
		if err := p.listener.Close(); err != nil {
			return errors.Wrap(err, "link")
		}
		var err error
		p.held, err = holdPort(p.address)
		return errors.Wrap(err, "link")
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "link")
	}
	p.listener = listener
	go p.accept(listener)
	return errors.Wrap(p.releasePort(), "link")
}

// holdPort returns a socket that is bound to the address without listening, so that connections are refused and no other process
// gets the port.
func holdPort(address string) (socket int, err error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(socket, &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()})
	}
	if err != nil {
		return 0, errors.CombineErrors(err, syscall.Close(socket))
	}
	return socket, nil
}

// releasePort closes the socket that holds the port, if there is one; the caller holds mu.
func (p *Proxy) releasePort() error {
	if p.held == 0 {
		return nil
	}
	socket := p.held
	p.held = 0
	return syscall.Close(socket)
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.releasePort()
	p.closed = true
	p.resetAll()
	p.changed.Broadcast()
}

// resetAll resets the open connections; the caller holds mu.
func (p *Proxy) resetAll() {
	for c := range p.open {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(p.open, c)
	}
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

// serve connects to the target and forwards bytes in both directions until the connections end.
func (p *Proxy) serve(client *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := c.(*net.TCPConn)
	if !p.add(client, server) {
		return
	}
	go p.forward(server, client, func(m Mode) bool { return m == Blackhole })
	p.forward(client, server, func(m Mode) bool { return m == Blackhole || m == BlockToClient })
}

// add adds a pair of connections and returns true. If the mode is Reset or the proxy is closed, it resets the connections and
// returns false.
func (p *Proxy) add(client, server *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[client], p.open[server] = true, true
	if p.mode == Reset || p.closed {
		p.resetAll()
		return false
	}
	return true
}

// forward copies bytes from one connection to the other, and holds them back while blocks reports true for the mode. The end
// of the input is forwarded too; after an error, or once both directions have ended, both connections are closed.
func (p *Proxy) forward(to, from *net.TCPConn, blocks func(Mode) bool) {
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.wait(blocks) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.closeDirection(to, from, errors.Is(err, io.EOF))
			return
		}
	}
}

// wait waits while the mode blocks the direction, or for the delay of a slow proxy, and reports whether to forward the bytes.
func (p *Proxy) wait(blocks func(Mode) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for blocks(p.mode) && !p.closed {
		p.changed.Wait()
	}
	if p.mode == Slow && !p.closed {
		p.mu.Unlock()
		time.Sleep(slowDelay)
		p.mu.Lock()
	}
	return !p.closed && p.mode != Reset
}

// closeDirection ends one direction. If isEOF is true, it closes only the write side of the other connection while that
// connection is still open in its own direction.
func (p *Proxy) closeDirection(to, from *net.TCPConn, isEOF bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, from)
	if isEOF && p.open[to] {
		_ = to.CloseWrite()
		return
	}
	delete(p.open, to)
	_ = to.Close()
	_ = from.Close()
}
