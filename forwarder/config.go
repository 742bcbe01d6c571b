package forwarder

import (
	"context"
	"time"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
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

// Attempt is one send of a request, for logs.
type Attempt struct {
	// Upstream is where it was sent, and Condition what was known of it.
	Upstream roster.Upstream
	Near     bool
	Load     exchange.Load
	LoadAge  time.Duration
	Failing  float64
	Cost     float64
	// Started is the time since the request's arrival; Took is the time until its end, or 0 while it runs.
	Started, Took time.Duration
	// Class is its end, or empty while it runs.
	Class exchange.Class
	// Status is the status of an answer.
	Status int
	// Hedge tells that it was sent while an earlier one still ran.
	Hedge bool

	// expected is the expected time at the upstream in usual service times.
	expected float64
}

// Job is one request with the rule that it follows.
type Job struct {
	Request *request.Request
	Rule    *ruleset.Rule
	// Health is the path of the health endpoint of the service's upstreams.
	Health string
	// Arrived is the time at which the request was read.
	Arrived time.Time
}
