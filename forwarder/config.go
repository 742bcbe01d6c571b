package forwarder

import (
	"context"
	"time"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/detour"
	"github.com/fulmarhitch/fulmarhitch/domaincost"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/notice"
	"github.com/fulmarhitch/fulmarhitch/quota"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/scarcity"
)

// Transport sends a request to one upstream and returns the result. The context caller is done once the caller has left.
type Transport interface {
	DoFor(ctx, caller context.Context, r *request.Request, up declaration.Upstream, maxAnswerBytes int) exchange.Result
}

// Sampler polls upstreams to refresh their conditions.
type Sampler interface {
	Poll(ups []roster.Upstream, path string, maxWait time.Duration)
}

// Config holds the dependencies of a forwarder.
type Config struct {
	// VM is the name of the VM, and FailureDomain is the failure domain in which it runs.
	VM, FailureDomain string
	// Roster and Conditions hold the upstreams and their observed conditions.
	Roster     *roster.Roster
	Conditions *condition.Table
	// Notices holds what the upstreams state about themselves.
	Notices *notice.Table
	// Quotas bounds what this VM sends to upstreams by what they state.
	Quotas *quota.Keeper
	// Transport sends requests to the upstreams, and Sampler polls them.
	Transport Transport
	Sampler   Sampler
	// HasIdle reports whether a connection to the upstream is open and idle; it may be nil.
	HasIdle func(u roster.Upstream) bool
	// Times estimates the usual service times.
	Times *Times
	// Pressure records requests that found no free slot.
	Pressure *Pressure
	// DomainCosts holds the costs at which the failure domains have served requests lately.
	DomainCosts *domaincost.Table
	// Scarcity counts the requests that waited in vain lately; a nil one is replaced by an empty one.
	Scarcity *scarcity.Table
	// Retries holds the budget of retries and hedges of each service.
	Retries *Retries
	// Quarantine refuses requests that crash upstreams; it may be nil.
	Quarantine Quarantine
	// Contact tells whether the VM reaches upstreams, and Detour passes requests to other VMs while it doesn't; both may be nil.
	Contact Contact
	Detour  Detour
}

// Contact tells whether the VM reaches any upstream.
type Contact interface {
	// IsLost reports whether it reaches none.
	IsLost() bool
	// Lost returns a channel that is closed while it reaches none, or at the next time that it doesn't.
	Lost() <-chan struct{}
}

// Detour passes requests to other VMs.
type Detour interface {
	// DoFor passes the request to VMs until one doesn't refuse it, and returns its result. The version is that of the rules by which
	// the request was accepted.
	DoFor(ctx, caller context.Context, r *request.Request, version uint64, maxAnswerBytes int) detour.Result
}

// Quarantine identifies requests that crash the upstreams that run them.
type Quarantine interface {
	// IsQuarantined reports whether the request must not be sent.
	IsQuarantined(r *request.Request) bool
	// RecordDeath records a request whose upstream died while running it.
	RecordDeath(r *request.Request, up roster.Upstream)
	// Answered records a request that an upstream has answered.
	Answered(r *request.Request)
	// RecordSilence records a request that an upstream has not answered, although the upstream is not known to have died.
	RecordSilence(r *request.Request, up roster.Upstream)
	// Heard records that the upstream has sent an answer of any kind.
	Heard(up roster.Upstream)
}
