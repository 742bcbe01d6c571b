package route

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/group"
	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/ledger"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/metric"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/quarantine"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// Peers sends a request to another entry VM; *peer.Client implements it. An error for which
// errors.Is(err, peer.ErrUnsent) holds means that no byte was sent.
type Peers interface {
	Run(ctx context.Context, address string, m *peerpb.RunRequest) (*peerpb.RunResponse, error)
}

// Upstreams sends a request to an upstream; *exchange.Exchanger implements it.
type Upstreams interface {
	Do(ctx context.Context, r *request.Request, up declaration.Upstream, maxAnswer int) exchange.Result
}

// Suspects tracks the requests that were in progress when upstreams died. It is safe for concurrent use.
type Suspects interface {
	// Level reports whether the request is suspect or quarantined.
	Level(fingerprint uint64, now time.Time) quarantine.Level
	// RecordDeath records that the upstream died with the request in progress, and notifies the peers.
	RecordDeath(fingerprint uint64, service, upstream string, now time.Time)
	// Answered records that the request was answered, so that it is no longer suspect.
	Answered(fingerprint uint64, now time.Time)
}

// Config holds the dependencies of a Router.
type Config struct {
	Incarnation uint64
	Groups      *group.Registry
	Upstreams   Upstreams
	Peers       Peers
	Suspects    Suspects
	Ledger      *ledger.Ledger
	Metrics     *metric.Metrics
	// Sender returns the identity for messages to peers.
	Sender func() *peerpb.Sender
	// Live returns the entry VMs that may be alive.
	Live func() []member.Member
	// Admit returns the reason to refuse new requests, or an empty one if they are accepted.
	Admit func() outcome.Reason
	// Observed receives an upstream's state from a response.
	Observed func(service, upstream string, state upstream.State, now time.Time)
}

// Router runs requests. It is safe for concurrent use.
type Router struct {
	config Config
	plan   atomic.Pointer[plan.Plan]
}

// New returns a router without a plan, which refuses all requests.
func New(c Config) *Router {
	return &Router{config: c}
}

// SetPlan replaces the plan.
func (r *Router) SetPlan(p *plan.Plan) {
	r.plan.Store(p)
}

// Plan returns the plan, or nil before the first SetPlan.
func (r *Router) Plan() *plan.Plan {
	return r.plan.Load()
}

// Run runs a caller's request and returns its outcome.
func (r *Router) Run(ctx context.Context, req *request.Request) outcome.Outcome {
	began := time.Now()
	out := r.run(ctx, req)
	r.config.Metrics.Class(req.Tenant, req.Class).Done(out, time.Since(began))
	return out
}

// run runs a request unless this VM refuses new ones.
func (r *Router) run(ctx context.Context, req *request.Request) outcome.Outcome {
	if reason := r.config.Admit(); reason != "" {
		return r.RefusalOutcome(req.Key, outcome.NotRun{Reason: reason})
	}
	if req.Idempotent {
		return r.runAtHome(ctx, req)
	}
	k, err := key.Parse(req.Key)
	if err != nil {
		return outcome.NotRun{Reason: outcome.BadRequest, Detail: "Fulmarhitch-Key: " + err.Error()}
	}
	if k.Incarnation == r.config.Incarnation {
		return r.runKeyed(ctx, k, req)
	}
	return r.sendToIncarnation(ctx, k, req)
}

// RefusalOutcome returns the outcome of a refused request. NotRun would be wrong for a repeated key whose first request may
// have run, here or at another incarnation; a request without a key is idempotent or bad and gets the refusal.
func (r *Router) RefusalOutcome(keyText string, refusal outcome.NotRun) outcome.Outcome {
	if keyText == "" {
		return refusal
	}
	k, err := key.Parse(keyText)
	if err != nil {
		// No entry VM starts a request with a malformed key.
		return refusal
	}
	return r.config.Ledger.RecordRefusal(k, refusal, time.Now())
}

// Serve runs a request from another entry VM and returns the outcome with the load of the group.
func (r *Router) Serve(ctx context.Context, m *peerpb.RunRequest) (*peerpb.RunResponse, error) {
	now := time.Now()
	req, err := peer.DecodeRequest(m, now)
	if err != nil {
		return nil, err
	}
	p := r.Plan()
	if refusal := applyKind(p, req); refusal != nil {
		if m.GetMode() == peerpb.RunRequest_MODE_KEY {
			// This process may have replaced the one that ran the key, or the configuration may have changed since.
			return peer.EncodeOutcome(req.ID, r.RefusalOutcome(req.Key, *refusal), 0, 0), nil
		}
		return peer.EncodeOutcome(req.ID, *refusal, 0, 0), nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if m.GetMode() == peerpb.RunRequest_MODE_KEY {
		return peer.EncodeOutcome(req.ID, r.serveKey(ctx, req), 0, 0), nil
	}
	g := p.Group(m.GetGroup())
	if g == nil {
		// The sender has another generation in force; nothing ran.
		return peer.EncodeOutcome(req.ID, outcome.NotRun{Reason: outcome.NoUpstream, Detail: "unknown group"}, 0, 0), nil
	}
	from := queued
	if m.GetMode() == peerpb.RunRequest_MODE_SPILL {
		from = spilled
	}
	out := r.runInGroup(ctx, g, req, from)
	free, waiting := r.config.Groups.Get(g).Load()
	return peer.EncodeOutcome(req.ID, out, free, waiting), nil
}

func (r *Router) serveKey(ctx context.Context, req *request.Request) outcome.Outcome {
	if reason := r.config.Admit(); reason != "" {
		return r.RefusalOutcome(req.Key, outcome.NotRun{Reason: reason})
	}
	k, err := key.Parse(req.Key)
	if err != nil {
		return outcome.NotRun{Reason: outcome.BadRequest, Detail: "Fulmarhitch-Key: " + err.Error()}
	}
	return r.runKeyed(ctx, k, req)
}

// applyKind sets the request's fields that its service and kind in the plan determine, or returns a refusal.
func applyKind(p *plan.Plan, req *request.Request) *outcome.NotRun {
	if p == nil {
		return &outcome.NotRun{Reason: outcome.NotReady}
	}
	s := p.Service(req.Service)
	if s == nil {
		return &outcome.NotRun{Reason: outcome.BadRequest, Detail: "unknown service"}
	}
	kind := s.Service.Kind(req.Kind)
	if kind == nil {
		return &outcome.NotRun{Reason: outcome.BadRequest, Detail: "unknown kind"}
	}
	req.Tenant, req.Class, req.Weight = s.Service.Tenant, kind.Class, kind.Weight
	req.Idempotent, req.Long = kind.Idempotent, kind.Long
	return nil
}
