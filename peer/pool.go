package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/limit"
	"github.com/fulmarhitch/fulmarhitch/peerpb/peerpbconnect"
)

// pool holds the connections to one peer. Calls use them in rotation.
type pool struct {
	address   string
	options   Options
	client    peerpbconnect.PeerClient
	transport *http.Transport

	mu     sync.Mutex
	conns  []*http.ClientConn
	next   int
	dial   *dial // in progress
	ctx    context.Context
	cancel context.CancelFunc
}

// dial is one connection attempt, for which several callers may wait.
type dial struct {
	done chan struct{}
	err  error // valid once done is closed
}

func newPool(address string, o Options) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &pool{
		address: address,
		options: o,
		client: peerpbconnect.NewPeerClient(connSender{}, "http://"+address,
			connect.WithReadMaxBytes(o.MaxMessage), connect.WithSendMaxBytes(o.MaxMessage),
			connect.WithAcceptCompression("gzip", nil, nil)),
		transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: o.DialTimeout, KeepAlive: 15 * time.Second}).DialContext,
			Protocols:          &protocols,
			DisableCompression: true,
			// A larger list of headers or trailers ends the call.
			MaxResponseHeaderBytes: limit.MaxHeaderBytes,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: o.KeepAlive,
				PingTimeout:     o.KeepAlive,
				// A peer that stops reading must not block writers for longer than a failing keep-alive ping does.
				WriteByteTimeout: 2 * o.KeepAlive,
			},
		},
		ctx: ctx, cancel: cancel,
	}
}

// acquire returns a connection with a stream reserved on it. It starts a dial while there are fewer connections than
// configured, and waits for the dial only if no connection has a free stream.
func (p *pool) acquire(ctx context.Context) (*http.ClientConn, error) {
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

// pick returns a connection with a reserved stream, or the dial to wait for.
func (p *pool) pick() (*http.ClientConn, *dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, nil, errors.New("connections are closed")
	}
	var found *http.ClientConn
	usable := p.conns[:0]
	for _, c := range p.conns {
		if c.Err() == nil {
			usable = append(usable, c)
		}
	}
	clear(p.conns[len(usable):])
	p.conns = usable
	for range p.conns {
		p.next++
		if c := p.conns[p.next%len(p.conns)]; c.Reserve() == nil {
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

// connect opens one connection. It does not use the context of any caller, so that a caller with little time left does
// not make the dial fail for the others.
func (p *pool) connect(d *dial) {
	ctx, cancel := context.WithTimeout(p.ctx, p.options.DialTimeout)
	defer cancel()
	conn, err := p.transport.NewClientConn(ctx, "http", p.address)
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
