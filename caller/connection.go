package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// idleTimeout is shorter than any usual idle timeout of a server, so that a server rarely closes a connection at
// the moment when a request is written to it.
const idleTimeout = 20 * time.Second

func newTransport(config Config) *http.Transport {
	dialer := net.Dialer{Timeout: config.DialTimeout}
	return &http.Transport{
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
	}
}

var errSealed = errors.New("caller: the connection accepts no more writes")

// conn counts the bytes that are handed to the network.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes before it writes them, so that a count of 0 proves that none was written.
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

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal ends all writes and returns the final count.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// delivery watches the connections that one request was given.
type delivery struct {
	mu    sync.Mutex
	conns []*conn
	start []int64
}

func (d *delivery) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if c, ok := info.Conn.(*conn); ok {
			d.conns, d.start = append(d.conns, c), append(d.start, c.count())
		}
	}})
}

// given tells whether the request was given a connection.
func (d *delivery) given() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns) > 0
}

// sent tells whether any byte of the failed request was written. It seals the connections first, because the
// transport may still be about to write when the request has already failed.
func (d *delivery) sent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := false
	for i, c := range d.conns {
		sent = c.seal() != d.start[i] || sent
		_ = c.Close()
	}
	return sent
}
