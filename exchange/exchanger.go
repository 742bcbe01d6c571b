package exchange

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// Exchanger sends requests to upstreams and manages the connections to them.
type Exchanger struct {
	connections func(service string) int
	dialect     *Dialect
	bodies      *buffer.Budget
	// isPaused reports whether the upstream wants no requests; it is nil if upstreams can't tell.
	isPaused func(upstream string) bool
	observer Observer
	// dialTimeout bounds the time to open a connection.
	dialTimeout time.Duration
	// source is the IP address from which connections are opened; the zero value leaves it to the system.
	source netip.Addr

	mu    sync.RWMutex
	pools map[string]*connPool
}

const (
	// maxTries is the maximum number of connections tried for one request while no byte of it has been written. After an
	// upstream restarts, its old idle connections are stale, and a write to one fails before it writes a byte.
	maxTries = 3
	// maxHealthBody bounds the body of a health answer in bytes.
	maxHealthBody = 4 << 10
	// healthTimeout bounds a health request whose context has no earlier deadline.
	healthTimeout = time.Second
	// maxBodies bounds the bodies of answers held by an exchanger without a budget from outside, in bytes.
	maxBodies = 64 << 20
)

// New returns an exchanger for the native dialect that opens at most connections(service) connections to each upstream of
// the service. It calls the function for each request; a result below 1 allows no connections.
func New(connections func(service string) int) *Exchanger {
	return NewWithBudget(connections, buffer.New(maxBodies, func(string, int64) {}))
}

// NewWithBudget returns an exchanger like that of New, which holds the bodies of unfinished answers within the budget.
func NewWithBudget(connections func(service string) int, bodies *buffer.Budget) *Exchanger {
	return NewWithDialect(connections, native, bodies)
}

// NewWithDialect returns an exchanger like that of New for upstreams with the given dialect. The bodies of unfinished answers
// are held within the budget.
func NewWithDialect(connections func(service string) int, d Dialect, bodies *buffer.Budget) *Exchanger {
	return &Exchanger{connections: connections, dialect: &d, bodies: bodies, observer: unobserved{}, dialTimeout: dialTimeout, pools: make(map[string]*connPool)}
}

// SetPaused sets the function that reports whether the upstream wants no requests at present. A request that has waited for a
// connection is then not sent. It must be called before the first request.
func (e *Exchanger) SetPaused(isPaused func(upstream string) bool) {
	e.isPaused = isPaused
}

// SetDialTimeout sets the bound on the time to open a connection. It must be called before the first request.
func (e *Exchanger) SetDialTimeout(d time.Duration) {
	e.dialTimeout = d
}

// SetSource sets the IP address from which connections are opened. It must be called before the first request.
func (e *Exchanger) SetSource(ip netip.Addr) {
	e.source = ip
}

// SetObserver sets the observer. It must be called before the first request.
func (e *Exchanger) SetObserver(o Observer) {
	e.observer = o
}

// Do sends the request to the upstream at most once and returns the result. A body of more than maxAnswer bytes counts as
// truncated. Do returns at the latest at the request's deadline plus the time to check whether the upstream has died.
func (e *Exchanger) Do(ctx context.Context, r *request.Request, up declaration.Upstream, maxAnswer int) Result {
	return e.do(ctx, ctx, r, up, maxAnswer, kindRequest)
}

// DoFor is like Do for a caller whose context is done once it has left. The request is not sent after that. If it has been
// sent, its answer is awaited, but one that has begun is no longer read after a short time.
func (e *Exchanger) DoFor(ctx, caller context.Context, r *request.Request, up declaration.Upstream, maxAnswer int) Result {
	return e.do(ctx, caller, r, up, maxAnswer, kindRequest)
}

// Health requests the state from the upstream's health endpoint. The connection counts toward this process's share of
// the connections to the upstream, and the request is sent at most once.
func (e *Exchanger) Health(ctx context.Context, service string, up declaration.Upstream) (State, error) {
	r := &request.Request{
		ID: "health", Service: service, Kind: "health", Method: http.MethodGet, Idempotent: true,
		Deadline: time.Now().Add(healthTimeout),
	}
	res := e.do(ctx, ctx, r, up, maxHealthBody, kindPoll)
	a, ok := res.Outcome.(outcome.Answered)
	if !ok {
		return "", errors.Newf("exchange: health of %s: %s: %+v", up.Name, res.Class, res.Outcome)
	}
	if a.Status != http.StatusOK {
		return "", errors.Newf("exchange: health of %s: status %d", up.Name, a.Status)
	}
	return ParseHealth(a.Body)
}

// Poll sends a request whose answer need not echo the request identifier, and returns the result.
func (e *Exchanger) Poll(ctx context.Context, r *request.Request, up declaration.Upstream) Result {
	return e.do(ctx, ctx, r, up, maxHealthBody, kindPoll)
}

// Probe is like Poll on a new connection, for which it doesn't wait if the share of connections is used up.
func (e *Exchanger) Probe(ctx context.Context, r *request.Request, up declaration.Upstream) Result {
	return e.do(ctx, ctx, r, up, maxHealthBody, kindProbe)
}

// HasIdle reports whether a connection to the upstream of the service at the address is open and idle.
func (e *Exchanger) HasIdle(service, address string) bool {
	e.mu.RLock()
	p := e.pools[service]
	e.mu.RUnlock()
	return p != nil && p.hasIdle(address)
}

// CancelDials ends the dials in progress, so that their requests fail as not sent.
func (e *Exchanger) CancelDials() {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, p := range e.pools {
		p.cancelDials()
	}
}

// CheckPaused makes the requests that wait for a connection check again whether their upstream wants requests.
func (e *Exchanger) CheckPaused() {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, p := range e.pools {
		p.wake()
	}
}

// CloseBroken closes the idle connections that the upstreams have closed, or on which they have sent anything.
func (e *Exchanger) CloseBroken() {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, p := range e.pools {
		p.closeBroken()
	}
}

// Close closes the idle connections; those in use close when their requests end.
func (e *Exchanger) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.close()
	}
}

func (e *Exchanger) do(ctx, caller context.Context, r *request.Request, up declaration.Upstream, maxAnswer int, k kind) Result {
	if !time.Now().Before(r.Deadline) {
		return unsent(outcome.DeadlineUnreachable, "deadline has passed")
	}
	if reason := e.dialect.check(r, k == kindRequest); reason != "" {
		return unsent(outcome.BadRequest, reason)
	}
	share := e.connections(r.Service)
	if share < 1 {
		return unsent(outcome.NoUpstream, "no connections are allowed")
	}
	// The callers' contexts usually have this deadline already, which saves a second timer.
	if end, ok := ctx.Deadline(); !ok || end.After(r.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	p := e.pool(r.Service)
	p.setShare(share)
	a := attempt{
		pool: p, dialect: e.dialect, bodies: e.bodies, caller: caller, request: r, upstream: up, maxAnswer: maxAnswer, kind: k,
		isPaused: e.isPaused, observer: e.observer,
	}
	for try := 1; ; try++ {
		res, stale := a.run(ctx)
		if !stale || try == maxTries {
			return res
		}
	}
}

func (e *Exchanger) pool(service string) *connPool {
	e.mu.RLock()
	p := e.pools[service]
	e.mu.RUnlock()
	if p != nil {
		return p
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pools[service] == nil {
		e.pools[service] = newConnPool(e.dialTimeout, e.observer)
		if e.source.IsValid() {
			e.pools[service].dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(e.source, 0))
		}
	}
	return e.pools[service]
}
