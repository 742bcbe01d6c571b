package exchange

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout is the default bound on the time to open a connection. It is long compared to the 1 ms that a connection takes
	// and short compared to the deadlines of requests.
	dialTimeout = time.Second
	// idleTimeout is below the 60 s after which servers commonly close idle connections, so that a request is rarely sent
	// on a connection that is being closed.
	idleTimeout = 30 * time.Second
	// keepAliveMargin is subtracted from the idle timeout that an upstream states, which it rounds to whole seconds.
	keepAliveMargin = 1500 * time.Millisecond
	// maxKeepAlive bounds the idle timeout in seconds that an upstream states. It is longer than idleTimeout.
	maxKeepAlive = 3600
	// deathCheckTimeout bounds the check whether an upstream has died, and deathCheckPause is the pause before it, in which
	// a process that is ending closes its listener too.
	deathCheckTimeout = 100 * time.Millisecond
	deathCheckPause   = 2 * time.Millisecond
	// releaseDelay is the time for which a closed connection still counts toward the share, because the upstream counts it
	// until it sees the close. Network links take about 5 ms one way.
	releaseDelay = 10 * time.Millisecond
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
)

// errPaused marks a request that waited for a connection to an upstream that wants none any more.
var errPaused = errors.New("the upstream wants no requests at present")

// dialError is a failure to establish a connection.
type dialError struct {
	cause error
}

// Error returns the text of the cause.
func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

// connPool holds the connections to the upstreams of one service.
type connPool struct {
	dialer   net.Dialer
	observer Observer

	mu sync.Mutex
	// dialing is the context of the dials in progress, and cancelDialing ends them.
	dialing       context.Context
	cancelDialing context.CancelFunc
	// share is the maximum number of connections to each upstream.
	share int
	// open counts the connections to each address: those being dialed, in use, idle or just closed.
	open map[string]int
	// idle holds the idle connections to each address, the most recently used one last.
	idle map[string][]*conn
	// changed is closed and replaced when a connection may have become available.
	changed chan struct{}
	// waiting is the number of requests that wait for a connection.
	waiting int
	closed  bool
}

func newConnPool(dialTimeout time.Duration, o Observer) *connPool {
	p := &connPool{
		dialer: net.Dialer{Timeout: dialTimeout}, observer: o, open: make(map[string]int), idle: make(map[string][]*conn),
		changed: make(chan struct{}),
	}
	p.dialing, p.cancelDialing = context.WithCancel(context.Background())
	return p
}

// cancelDials ends the dials in progress.
func (p *connPool) cancelDials() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelDialing()
	p.dialing, p.cancelDialing = context.WithCancel(context.Background())
}

// setShare sets the share of connections to each upstream, and closes the idle connections that exceed it.
func (p *connPool) setShare(share int) {
	p.mu.Lock()
	if p.share == share {
		p.mu.Unlock()
		return
	}
	p.share = share
	var excess []*conn
	for address, conns := range p.idle {
		n := min(max(p.open[address]-share, 0), len(conns))
		excess = append(excess, conns[:n]...)
		p.idle[address] = conns[n:]
	}
	p.notify()
	p.mu.Unlock()
	closeAll(excess)
}

// hasIdle reports whether there is an idle connection to the address.
func (p *connPool) hasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// takeIdle removes and returns the idle connections; the caller holds mu.
func (p *connPool) takeIdle() []*conn {
	var all []*conn
	for _, conns := range p.idle {
		all = append(all, conns...)
	}
	clear(p.idle)
	return all
}

// closeAll closes the connections. The caller must not hold the mu of their pool, which the release of their share locks.
func closeAll(all []*conn) {
	for _, c := range all {
		c.idleTimer.Stop()
		_ = c.Close()
	}
}

// get returns an idle connection that the upstream has not closed, or a new one within the share. It returns an error once
// ctx or caller is done, also if a connection is free, and if isPaused returns true after a wait.
func (p *connPool) get(ctx, caller context.Context, address string, isPaused func() bool) (c *conn, reused bool, err error) {
	for {
		if err := cmp.Or(ctx.Err(), caller.Err()); err != nil {
			return nil, false, errors.Wrap(err, "the request has ended")
		}
		c, changed := p.next(address)
		switch {
		case c != nil && c.isReusable():
			return c, true, nil
		case c != nil:
			_ = c.Close()
			continue
		case changed == nil:
			if c, err = p.connect(ctx, address); err != nil || caller.Err() == nil {
				return c, false, err
			}
			// Another request may use the connection.
			p.put(c, 0)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-caller.Done():
		}
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
		if isPaused() {
			return nil, false, errPaused
		}
	}
}

// next returns an idle connection. If there is none, it counts a new connection as open and returns nil twice, or returns
// the channel to wait on if the share is used up.
func (p *connPool) next(address string) (*conn, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.idle[address]; len(conns) > 0 {
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		c.idleTimer.Stop()
		return c, nil
	}
	if p.open[address] < p.share {
		p.open[address]++
		return nil, nil
	}
	p.waiting++
	return nil, p.changed
}

// wait returns when the channel is closed, or the error of ctx.
func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "no connection of the share is free")
	}
}

// put adds a connection to the idle ones for the idle time, which is at most idleTimeout; 0 stands for idleTimeout.
func (p *connPool) put(c *conn, idle time.Duration) {
	if idle == 0 || idle > idleTimeout {
		idle = idleTimeout
	}
	p.mu.Lock()
	if p.closed || p.open[c.address] > p.share {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(idle, func() { p.expire(c) })
	} else {
		c.idleTimer.Reset(idle)
	}
	if p.waiting > 0 {
		p.notify()
	}
	p.mu.Unlock()
}

// expire closes a connection that is still idle.
func (p *connPool) expire(c *conn) {
	p.mu.Lock()
	i := slices.Index(p.idle[c.address], c)
	if i >= 0 {
		p.idle[c.address] = slices.Delete(p.idle[c.address], i, i+1)
		if len(p.idle[c.address]) == 0 {
			delete(p.idle, c.address)
		}
	}
	p.mu.Unlock()
	if i >= 0 {
		_ = c.Close()
	}
}

// notify makes the waiting requests check again for a connection; the caller holds mu.
func (p *connPool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// wake makes the waiting requests check again whether they may go on.
func (p *connPool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}

func (p *connPool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] == 0 {
		delete(p.open, address)
	}
	p.notify()
}

// connect dials an IP address and port for a connection that was reserved. It refuses host names, which are not resolved.
func (p *connPool) connect(ctx context.Context, address string) (*conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		p.release(address)
		return nil, &dialError{cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, p.dialer.Timeout)
	defer cancel()
	p.mu.Lock()
	stop := context.AfterFunc(p.dialing, cancel)
	p.mu.Unlock()
	defer stop()
	p.observer.Dialing(address)
	inner, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, &dialError{cause: err}
	}
	p.observer.Connected(address)
	return newConn(inner, address, func() {
		time.AfterFunc(releaseDelay, func() { p.release(address) })
	}), nil
}

// connectBeyondShare is like connect for a connection that was not reserved, and that closes after its use if it exceeds the
// share.
func (p *connPool) connectBeyondShare(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	return p.connect(ctx, address)
}

// refusesConnection reports whether the address refuses a new connection.
func (p *connPool) refusesConnection(address string) bool {
	time.Sleep(deathCheckPause)
	ctx, cancel := context.WithTimeout(context.Background(), deathCheckTimeout)
	defer cancel()
	// Idle connections that the upstream closed still count toward the share, which the check needs too.
	p.closeBrokenTo(address)
	if err := p.reserve(ctx, address); err != nil {
		return false
	}
	c, err := p.connect(ctx, address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// closeBrokenTo closes the idle connections to the address that can't be reused.
func (p *connPool) closeBrokenTo(address string) {
	p.mu.Lock()
	broken := p.takeBroken(address)
	p.mu.Unlock()
	closeAll(broken)
}

// closeBroken closes the idle connections that can't be reused.
func (p *connPool) closeBroken() {
	p.mu.Lock()
	var broken []*conn
	for address := range p.idle {
		broken = append(broken, p.takeBroken(address)...)
	}
	p.mu.Unlock()
	closeAll(broken)
}

// takeBroken removes and returns the idle connections to the address that can't be reused; the caller holds mu.
func (p *connPool) takeBroken(address string) (broken []*conn) {
	conns := slices.DeleteFunc(p.idle[address], func(c *conn) bool {
		if c.isReusable() {
			return false
		}
		broken = append(broken, c)
		return true
	})
	if p.idle[address] = conns; len(conns) == 0 {
		delete(p.idle, address)
	}
	return broken
}

// reserve waits until the share allows a new connection, and counts it as open.
func (p *connPool) reserve(ctx context.Context, address string) error {
	for {
		p.mu.Lock()
		if p.open[address] < p.share {
			p.open[address]++
			p.mu.Unlock()
			return nil
		}
		changed := p.changed
		p.mu.Unlock()
		if err := wait(ctx, changed); err != nil {
			return err
		}
	}
}

func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.takeIdle()
	p.mu.Unlock()
	closeAll(idle)
}
