package exchange

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// Exchanger sends requests to upstreams and keeps the connections to them.
type Exchanger struct {
	connections func(service string) int
	dialect     *Dialect

	mu    sync.RWMutex
	links map[string]*link
}

const (
	// maxTries bounds the connections tried for one request while no byte of it has been written. A restarted upstream
	// leaves stale idle connections behind, and a write to one fails before it writes.
	maxTries = 3
	// maxHealth bounds the answer of a health endpoint in bytes.
	maxHealth = 4 << 10
	// healthTimeout bounds a health request whose context has no earlier deadline.
	healthTimeout = time.Second
)

// New returns an exchanger that opens at most connections(service) connections to each upstream of the service. The
// function is called for each request; a result below 1 forbids connections.
func New(connections func(service string) int) *Exchanger {
	return NewWithDialect(connections, native)
}

// NewWithDialect returns an exchanger like New for upstreams that speak another dialect.
func NewWithDialect(connections func(service string) int, d Dialect) *Exchanger {
	return &Exchanger{connections: connections, dialect: &d, links: make(map[string]*link)}
}

// Do sends the request to the upstream at most once and returns what became of it. A body of more than maxAnswer bytes
// counts as truncated. Do returns by the request's deadline plus the time of a check whether the upstream has died.
func (e *Exchanger) Do(ctx context.Context, r *request.Request, up declaration.Upstream, maxAnswer int) Result {
	return e.do(ctx, r, up, maxAnswer, true)
}

// Health asks the upstream's health endpoint over a connection of the share and never sends the request twice.
func (e *Exchanger) Health(ctx context.Context, service string, up declaration.Upstream) (State, error) {
	r := &request.Request{
		ID: "health", Service: service, Kind: "health", Method: http.MethodGet, Idempotent: true,
		Deadline: time.Now().Add(healthTimeout),
	}
	res := e.do(ctx, r, up, maxHealth, false)
	a, ok := res.Outcome.(outcome.Answered)
	if !ok {
		return "", errors.Newf("exchange: health of %s: %s: %+v", up.Name, res.Class, res.Outcome)
	}
	if a.Status != http.StatusOK {
		return "", errors.Newf("exchange: health of %s: status %d", up.Name, a.Status)
	}
	return ParseHealth(a.Body)
}

// Ask sends the request, which carries no identifier that an answer would echo, and returns what became of it.
func (e *Exchanger) Ask(ctx context.Context, r *request.Request, up declaration.Upstream) Result {
	return e.do(ctx, r, up, maxHealth, false)
}

// Close closes the idle connections; those in use close when their requests end.
func (e *Exchanger) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.close()
	}
}

func (e *Exchanger) do(ctx context.Context, r *request.Request, up declaration.Upstream, limit int, echo bool) Result {
	if !time.Now().Before(r.Deadline) {
		return unsent(outcome.DeadlineUnreachable, "deadline has passed")
	}
	if f := e.dialect.fault(r, echo); f != "" {
		return unsent(outcome.BadRequest, f)
	}
	share := e.connections(r.Service)
	if share < 1 {
		return unsent(outcome.NoUpstream, "no connections are allowed")
	}
	// The callers' contexts usually end at the deadline already, which saves a second timer.
	if end, ok := ctx.Deadline(); !ok || end.After(r.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	l := e.link(r.Service)
	l.use(share)
	a := attempt{link: l, dialect: e.dialect, request: r, upstream: up, limit: limit, echo: echo}
	for try := 1; ; try++ {
		res, stale := a.run(ctx)
		if !stale || try == maxTries {
			return res
		}
	}
}

func (e *Exchanger) link(service string) *link {
	e.mu.RLock()
	l := e.links[service]
	e.mu.RUnlock()
	if l != nil {
		return l
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[service] == nil {
		e.links[service] = newLink()
	}
	return e.links[service]
}
