package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/net/http2"

	"github.com/fulmarhitch/fulmarhitch/peerpb/peerpbconnect"
)

// pool is the connections to one peer. Calls rotate over them.
type pool struct {
	address   string
	options   Options
	client    peerpbconnect.PeerClient
	transport *http2.Transport

	mu     sync.Mutex
	conns  []*http2.ClientConn
	next   int
	dial   *dial // in progress
	ctx    context.Context
	cancel context.CancelFunc
}

// dial is one attempt to connect, for which several callers may wait.
type dial struct {
	done chan struct{}
	err  error // valid once done is closed
}

func newPool(address string, o Options) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &pool{
		address: address,
		options: o,
		client: peerpbconnect.NewPeerClient(carrier{}, "http://"+address,
			connect.WithReadMaxBytes(o.MaxMessage), connect.WithSendMaxBytes(o.MaxMessage),
			connect.WithAcceptCompression("gzip", nil, nil)),
		transport: &http2.Transport{
			AllowHTTP:          true,
			DisableCompression: true,
			ReadIdleTimeout:    o.KeepAlive,
			PingTimeout:        o.KeepAlive,
			// A peer that stops reading must not hold writers longer than a keep-alive ping would.
			WriteByteTimeout: 2 * o.KeepAlive,
		},
		ctx: ctx, cancel: cancel,
	}
}

// take returns a connection with a stream reserved on it. It dials while there are fewer connections than wanted, and
// waits for the dial only if there is none at all.
func (p *pool) take(ctx context.Context) (*http2.ClientConn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		conn, d, err := p.pick()
		if err != nil || conn != nil {
			return conn, err
		}
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// pick returns a usable connection, or the dial to wait for.
func (p *pool) pick() (*http2.ClientConn, *dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, nil, errors.New("connections are closed")
	}
	var found *http2.ClientConn
	usable := p.conns[:0]
	for _, c := range p.conns {
		if s := c.State(); !s.Closed && !s.Closing {
			usable = append(usable, c)
		}
	}
	clear(p.conns[len(usable):])
	p.conns = usable
	for range p.conns {
		p.next++
		if c := p.conns[p.next%len(p.conns)]; c.ReserveNewRequest() {
			found = c
			break
		}
	}
	if p.dial == nil && (found == nil || len(p.conns) < p.options.Connections) {
		p.dial = &dial{done: make(chan struct{})}
		go p.connect(p.dial)
	}
	return found, p.dial, nil
}

// connect makes one connection. It runs apart from any caller's context, so that a caller with little time left does
// not fail the others.
func (p *pool) connect(d *dial) {
	ctx, cancel := context.WithTimeout(p.ctx, p.options.DialTimeout)
	defer cancel()
	var conn *http2.ClientConn
	raw, err := (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext(ctx, "tcp", p.address)
	if err == nil {
		conn, err = p.transport.NewClientConn(raw)
	}
	p.mu.Lock()
	p.dial = nil
	if conn != nil {
		p.conns = append(p.conns, conn)
	}
	closed := p.ctx.Err() != nil
	p.mu.Unlock()
	if conn != nil && closed {
		_ = conn.Close()
	}
	d.err = err
	close(d.done)
}

func (p *pool) close() {
	p.cancel()
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
