package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/peerpb/peerpbconnect"
)

// ErrUnsent marks a call of which no byte was sent, because no connection to the peer could be made in time.
var ErrUnsent = errors.New("peer: not sent")

// Options are the bounds of a client.
type Options struct {
	// Connections is the number of connections to each peer.
	Connections int
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// KeepAlive is the silence after which a connection is pinged, and the time that the answer may take.
	KeepAlive time.Duration
	// MaxMessage bounds a message in bytes.
	MaxMessage int
}

// DefaultMaxMessage bounds a message: 16 MiB for a body and 1 MiB for the rest.
const DefaultMaxMessage = 17 << 20

// DefaultOptions returns 2 connections to each peer, 500 ms to dial and keep-alive pings after 1 s.
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

// New returns a client without connections; they are made by the first calls.
func New(o Options) *Client {
	return &Client{options: o, pools: make(map[string]*pool)}
}

// Run sends a request to run. An error with errors.Is(err, ErrUnsent) tells that no byte was sent; after any other
// error the request may have run. The answer's fields have been checked.
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

// Pull asks for the envelope above a generation.
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

// Compare sends one message of a comparison.
func (c *Client) Compare(ctx context.Context, address string, m *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	return call(ctx, c, address, m, peerpbconnect.PeerClient.Compare)
}

// Forget closes the connections to a peer that is gone.
func (c *Client) Forget(address string) {
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

// call takes a connection first, so that a failure to get one is known to have sent nothing.
func call[Q, A any](ctx context.Context, c *Client, address string, m *Q,
	method func(peerpbconnect.PeerClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	if size := proto.Size(any(m).(proto.Message)); size > c.options.MaxMessage {
		return nil, errors.Mark(errors.Newf("peer: message of %d bytes, at most %d", size, c.options.MaxMessage), ErrUnsent)
	}
	p, err := c.pool(address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "peer: %s", address), ErrUnsent)
	}
	conn, err := p.take(ctx)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "peer: dial %s", address), ErrUnsent)
	}
	k := &carriage{conn: conn}
	res, err := method(p.client, context.WithValue(ctx, carriageKey{}, k), connect.NewRequest(m))
	if !k.used {
		// The message could not be encoded.
		conn.Release()
		return nil, errors.Mark(errors.Wrapf(err, "peer: call %s", address), ErrUnsent)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "peer: call %s", address)
	}
	return res.Msg, nil
}

// carriage is the reserved connection of one call, in the call's context.
type carriage struct {
	conn *http.ClientConn
	used bool
}

// carriageKey is the context key of a *carriage.
type carriageKey struct{}

// carrier sends a request on the connection of its context. It never sends one twice.
type carrier struct{}

func (carrier) Do(r *http.Request) (*http.Response, error) {
	k, ok := r.Context().Value(carriageKey{}).(*carriage)
	if !ok || k.used {
		return nil, errors.New("peer: no connection in the context")
	}
	k.used = true
	return k.conn.RoundTrip(r)
}
