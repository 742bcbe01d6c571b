package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarhitch/fulmarhitch/limit"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/peerpb/peerpbconnect"
)

// ErrUnsent marks a call of which no byte was sent, for example because no connection to the peer could be made in
// time.
var ErrUnsent = errors.New("peer: not sent")

// Options configure a Client.
type Options struct {
	// Connections is the number of connections to each peer.
	Connections int
	// DialTimeout bounds one connection attempt.
	DialTimeout time.Duration
	// KeepAlive is the idle time after which a connection is pinged, and the timeout of the ping.
	KeepAlive time.Duration
	// MaxMessage bounds the size of a message in bytes.
	MaxMessage int
}

// DefaultMaxMessage is the default bound on a message in bytes: 16 MiB for a body and 1 MiB for the rest.
const DefaultMaxMessage = 17 << 20

// DefaultOptions returns options with 2 connections to each peer, 500 ms to dial and keep-alive pings after 1 s.
func DefaultOptions() Options {
	return Options{Connections: 2, DialTimeout: 500 * time.Millisecond, KeepAlive: time.Second, MaxMessage: DefaultMaxMessage}
}

// Client calls peers. It is safe for concurrent use.
type Client struct {
	options Options
	mu      sync.Mutex
	pools   map[string]*pool
	closed  bool
}

// New returns a client without connections; the first calls open them.
func New(o Options) *Client {
	return &Client{options: o, pools: make(map[string]*pool)}
}

// Run sends a request to run. If errors.Is(err, ErrUnsent), no byte was sent; after any other error the request may have
// run. The fields of a returned response have been validated.
func (c *Client) Run(ctx context.Context, address string, m *peerpb.RunRequest) (*peerpb.RunResponse, error) {
	res, err := call(ctx, c, address, m, peerpbconnect.PeerClient.Run)
	if err != nil {
		return nil, err
	}
	if err := checkRunResponse(res, m.GetRequestId()); err != nil {
		return nil, err
	}
	return res, nil
}

// Pull requests an envelope above a generation.
func (c *Client) Pull(ctx context.Context, address string, m *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	return call(ctx, c, address, m, peerpbconnect.PeerClient.Pull)
}

// Ping sends a direct or indirect ping.
func (c *Client) Ping(ctx context.Context, address string, m *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	return call(ctx, c, address, m, peerpbconnect.PeerClient.Ping)
}

// Push sends events.
func (c *Client) Push(ctx context.Context, address string, m *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	return call(ctx, c, address, m, peerpbconnect.PeerClient.Push)
}

// Compare sends one message of a state comparison.
func (c *Client) Compare(ctx context.Context, address string, m *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	return call(ctx, c, address, m, peerpbconnect.PeerClient.Compare)
}

// CloseConnections closes the connections to a peer that has left the fleet.
func (c *Client) CloseConnections(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Close closes all connections; later calls fail with ErrUnsent.
func (c *Client) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools, c.closed = nil, true
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

func (c *Client) pool(address string) (*pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("client is closed")
	}
	p, ok := c.pools[address]
	if !ok {
		p = newPool(address, c.options)
		c.pools[address] = p
	}
	return p, nil
}

// call acquires a connection before it sends, so that after a failure to get one it is certain that nothing was sent.
func call[Req, Res any](ctx context.Context, c *Client, address string, m *Req,
	method func(peerpbconnect.PeerClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
) (*Res, error) {
	if size := proto.Size(any(m).(proto.Message)); size > c.options.MaxMessage {
		return nil, errors.Mark(errors.Newf("peer: message of %d bytes, at most %d", size, c.options.MaxMessage), ErrUnsent)
	}
	p, err := c.pool(address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "peer: %s", address), ErrUnsent)
	}
	conn, err := p.acquire(ctx)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "peer: dial %s", address), ErrUnsent)
	}
	cc := &callConn{conn: conn, maxMessage: int64(c.options.MaxMessage)}
	res, err := method(p.client, context.WithValue(ctx, callConnKey{}, cc), connect.NewRequest(m))
	if !cc.used {
		// The message could not be encoded.
		conn.Release()
		return nil, errors.Mark(errors.Wrapf(err, "peer: call %s", address), ErrUnsent)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "peer: call %s", address)
	}
	return res.Msg, nil
}

// callConn is the reserved connection of one call, stored in the call's context.
type callConn struct {
	conn       *http.ClientConn
	used       bool
	maxMessage int64
}

// callConnKey is the context key of a *callConn.
type callConnKey struct{}

// connSender sends a request on the connection in its context. It never sends a request twice.
type connSender struct{}

func (connSender) Do(r *http.Request) (*http.Response, error) {
	cc, ok := r.Context().Value(callConnKey{}).(*callConn)
	if !ok || cc.used {
		return nil, errors.New("peer: no connection in the context")
	}
	cc.used = true
	transport := limit.Transport{Base: cc.conn, MaxBody: cc.maxMessage}
	return transport.RoundTrip(r)
}
