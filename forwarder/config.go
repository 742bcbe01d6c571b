package forwarder

import (
	"context"
	"time"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

// Upstreams sends a request to one upstream and tells what became of it.
type Upstreams interface {
	Do(ctx context.Context, r *request.Request, up declaration.Upstream, maxAnswer int) exchange.Result
}

// Sampler refreshes the conditions of upstreams.
type Sampler interface {
	Ask(ups []roster.Upstream, path string, patience time.Duration)
}

// Config holds what a forwarder works with.
type Config struct {
	// VM is the name of the VM, and FailureDomain is where it stands.
	VM, FailureDomain string
	// Roster and Conditions hold the upstreams and what is known of them.
	Roster     *roster.Roster
	Conditions *condition.Table
	// Upstreams and Sampler reach the upstreams.
	Upstreams Upstreams
	Sampler   Sampler
	// Times learns the usual service times.
	Times *Times
	// Pressure remembers requests that found no room.
	Pressure *Pressure
	// Retries is the budget of second sends.
	Retries *Retries
	// Quarantine refuses requests that crash upstreams; it may be nil.
	Quarantine Quarantine
}

// Quarantine knows the requests that crash the upstreams that run them.
type Quarantine interface {
	// IsQuarantined tells whether the request may not be sent.
	IsQuarantined(r *request.Request) bool
	// Died takes a request whose upstream died while it ran.
	Died(r *request.Request, up roster.Upstream)
	// Answered takes a request that an upstream has answered.
	Answered(r *request.Request)
}
