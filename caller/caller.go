package caller

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/fulmarhitch/fulmarhitch/document"
	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/response"
)

// Config configures a Caller.
type Config struct {
	// Entries are the IP addresses and ports of entry VMs from which the addresses of a service are requested.
	Entries []string
	// FailureDomain is the failure domain of the caller, used as a hint, or empty.
	FailureDomain string
	// Token is sent as a bearer token with each request, or empty.
	Token string
	// MaxAnswer bounds the body of an answer in bytes; 0 means 64 MiB.
	MaxAnswer int
	// DialTimeout bounds a connection attempt; 0 means 250 ms.
	DialTimeout time.Duration
	// MaxConnections bounds the open connections to each address; 0 means 256.
	MaxConnections int
}

// Call is one request of a caller.
type Call struct {
	Service, Kind string
	// Path is in escaped form, has no leading slash and no dot segments and may carry a query.
	Path string
	// Method is the HTTP method; empty means GET for idempotent kinds and POST for others.
	Method string
	Header http.Header
	Body   []byte
	// Idempotent must be true only if the operators' file marks the kind so.
	Idempotent bool
	// Depth is the number of calls in the chain that led to this one.
	Depth int
	// Key is the text form of the key to use for a non-idempotent kind; empty means a new one.
	Key string
	// Repeat allows sending the same key again after an unknown outcome; only the incarnation in the key decides whether
	// the request runs. With a Key, Repeat means that the key was sent before, so that "not run" is not reported.
	Repeat bool
}

// Caller sends calls to entry VMs. Its methods are safe for concurrent use.
type Caller struct {
	config    Config
	transport *response.Transport
	group     singleflight.Group

	mu    sync.Mutex
	cache map[string]*Addresses
	// lastEntry is the entry that responded last; it is tried first.
	lastEntry string
	// failedAt holds the time of the last failed connection attempt by address.
	failedAt map[string]time.Time
}

// New returns a Caller. Close it to release its connections.
func New(config Config) *Caller {
	setDefault(&config.MaxAnswer, 64<<20)
	setDefault(&config.DialTimeout, 250*time.Millisecond)
	setDefault(&config.MaxConnections, 256)
	return &Caller{
		config:    config,
		transport: newTransport(config),
		cache:     make(map[string]*Addresses),
		failedAt:  make(map[string]time.Time),
	}
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.transport.CloseIdleConnections()
}

// NewKey returns a key for a later call to the service, so that the caller can store it and repeat the call with it.
func (c *Caller) NewKey(ctx context.Context, service string) (key.Key, error) {
	a, err := c.Addresses(ctx, service)
	if err != nil {
		return key.Key{}, err
	}
	targets := c.order(a)
	if len(targets) == 0 {
		return key.Key{}, errors.Newf("caller: no address for service %s", service)
	}
	return a.key(targets[0]), nil
}

// Call sends the call and returns its outcome. The deadline of ctx is that of the request; without one it is 30 s
// from now.
func (c *Caller) Call(ctx context.Context, call Call) outcome.Outcome {
	if call.Method == "" {
		call.Method = http.MethodPost
		if call.Idempotent {
			call.Method = http.MethodGet
		}
	}
	if problem := call.check(); problem != "" {
		return outcome.NotRun{Reason: outcome.BadRequest, Detail: problem}
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	return c.deliver(ctx, call)
}

// check returns what is wrong with the call, or "".
func (call *Call) check() string {
	if problem := cmp.Or(document.Name(call.Service), document.Name(call.Kind)); problem != "" {
		return problem
	}
	if !call.Idempotent && call.Method != http.MethodPost {
		return "a non-idempotent kind accepts only POST"
	}
	if call.Key != "" {
		if _, err := key.Parse(call.Key); err != nil {
			return err.Error()
		}
	}
	u, err := url.Parse("/" + call.Path)
	if err != nil || strings.Contains(call.Path, "#") {
		return "the path is malformed"
	}
	// HTTP servers redirect such a path, and a redirect has no outcome.
	if segments := strings.Split(u.Path, "/"); slices.Contains(segments, ".") || slices.Contains(segments, "..") {
		return "the path has dot segments"
	}
	return ""
}

const defaultTimeout = 30 * time.Second

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}
