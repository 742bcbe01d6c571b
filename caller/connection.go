package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/response"
)

// idleTimeout is shorter than the usual idle timeouts of servers, so that a server rarely closes a connection while a
// request is written to it.
const idleTimeout = 20 * time.Second

func newTransport(config Config) *response.Transport {
	dialer := net.Dialer{Timeout: config.DialTimeout}
	return response.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        config.MaxConnections,
		MaxIdleConnsPerHost:    config.MaxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: 64 << 10,
	})
}

var errSealed = errors.New("caller: the connection accepts no more writes")

// conn counts the bytes that are passed to the network.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes before it writes them, so that a count of 0 means that none was written.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// SyscallConn returns the raw network connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("caller: the connection has no socket")
	}
	return s.SyscallConn()
}

func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all later writes fail and returns the final count.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// connTracker records the connections that the transport used for one request.
type connTracker struct {
	mu    sync.Mutex
	conns []*conn
	start []int64
}

func (t *connTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if c, ok := watched(info.Conn).(*conn); ok {
			t.conns, t.start = append(t.conns, c), append(t.start, c.bytesWritten())
		}
	}})
}

// watched returns the connection that the transport watches for broken responses.
func watched(c net.Conn) net.Conn {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		return w.NetConn()
	}
	return c
}

// gotConn reports whether the transport used a connection for the request.
func (t *connTracker) gotConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) > 0
}

// wrote reports whether any byte of the failed request was written. It seals the connections first, because the
// transport may still be about to write after the request has failed.
func (t *connTracker) wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wrote := false
	for i, c := range t.conns {
		wrote = c.seal() != t.start[i] || wrote
		_ = c.Close()
	}
	return wrote
}
