package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/limit"
	"github.com/fulmarhitch/fulmarhitch/response"
)

const (
	// MaxValue is the maximum size of a value in bytes.
	MaxValue = 1_000_000
	// callTimeout is the time limit of a Get or Put, and of a Watch in addition to its wait.
	callTimeout = time.Second
	// dialTimeout is shorter than callTimeout, so that a failed dial is distinguished from a lost answer.
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes is the size of the largest value in base64 with room for the rest of the response.
	maxResponseBytes = (MaxValue+2)/3*4 + 256
)

var (
	// ErrRateLimited marks a call that the store refused because of its rate limit.
	ErrRateLimited = errors.New("store: rate limit exceeded")
	// ErrMalformed marks an answer that violates the store's protocol.
	ErrMalformed = errors.New("store: malformed answer")
)

// Client calls the store at one address. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// Value is the content of a key.
type Value struct {
	// Data is nil if the key does not exist.
	Data []byte
	// Version is 0 if the key does not exist.
	Version uint64
}

// New returns a client of the store at the IP address and port.
func New(address string) *Client {
	return NewWithTransport(address, response.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: limit.MaxHeaderBytes,
	}))
}

// NewWithTransport returns a client that sends its calls through the transport.
func NewWithTransport(address string, transport http.RoundTripper) *Client {
	return &Client{address: address, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get returns the key's value.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, _, err := c.read(ctx, key, nil)
	return v, errors.Wrapf(err, "store: get %s", key)
}

// Watch waits until the key's version differs from version and returns the value and true, or returns false after the
// wait. It makes a single call to the store.
func (c *Client) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	q := url.Values{
		"watch-above": {strconv.FormatUint(version, 10)},
		"wait-ms":     {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	v, changed, err := c.read(ctx, key, q)
	if err == nil && changed && v.Version == version {
		// Without this check, a caller that calls Watch in a loop would spin on such an answer.
		err = errors.Wrapf(ErrMalformed, "watch above version %d answered with that version", version)
	}
	if err != nil {
		return Value{}, false, errors.Wrapf(err, "store: watch %s", key)
	}
	return v, changed, nil
}

// Put writes data if the key's version is expect, where 0 means that the key must not exist.
func (c *Client) Put(ctx context.Context, key string, expect uint64, data []byte) Result {
	if len(data) > MaxValue {
		return Rejected{Cause: errors.Newf("store: value of %d bytes exceeds %d", len(data), MaxValue)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	resp, err := c.call(ctx, http.MethodPut, key, q, bytes.NewReader(data))
	if err != nil {
		err = errors.Wrapf(err, "store: put %s", key)
		if isDialError(err) {
			return Rejected{Cause: err, Temporary: true}
		}
		return Uncertain{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return putResult(resp, expect)
}

func putResult(resp *http.Response, expect uint64) Result {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		v, err := readVersion(resp.Body)
		if err == nil && v == expect {
			err = errors.Wrapf(ErrMalformed, "version %d is the expected one", v)
		}
		switch {
		case err != nil:
			return Uncertain{Cause: errors.Wrap(err, "store: put")}
		case resp.StatusCode == http.StatusOK:
			return Swapped{Version: v}
		default:
			return Conflict{Version: v}
		}
	case http.StatusTooManyRequests:
		return Rejected{Cause: errors.WithStack(ErrRateLimited), Temporary: true}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return Rejected{Cause: errors.Newf("store: put refused with status %d", resp.StatusCode)}
	default:
		// The status of an intermediary does not show whether the store applied the write.
		return Uncertain{Cause: errors.Newf("store: put answered with status %d", resp.StatusCode)}
	}
}

func (c *Client) read(ctx context.Context, key string, q url.Values) (Value, bool, error) {
	resp, err := c.call(ctx, http.MethodGet, key, q, nil)
	if err != nil {
		return Value{}, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		v, err := readValue(resp.Body)
		return v, err == nil, err
	case http.StatusNotFound:
		return Value{}, true, nil
	case http.StatusNotModified:
		if q == nil {
			return Value{}, false, errors.Wrap(ErrMalformed, "status 304 without a watch")
		}
		return Value{}, false, nil
	case http.StatusTooManyRequests:
		return Value{}, false, errors.WithStack(ErrRateLimited)
	default:
		return Value{}, false, errors.Newf("status %d", resp.StatusCode)
	}
}

func (c *Client) call(ctx context.Context, method, key string, q url.Values, body io.Reader) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: "/kv/" + key, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return c.http.Do(req)
}

// isDialError reports whether err shows that no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
