package ingress

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/head"
	"github.com/fulmarhitch/fulmarhitch/organisation"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
	"github.com/fulmarhitch/fulmarhitch/telemetry"
)

// Dialect holds the names of the headers that callers send.
type Dialect struct {
	// RequestID names the header that identifies a request.
	RequestID string
	// Deadline names the header with the time in ms for which the caller waits.
	Deadline string
	// Organisation names the header by which upstreams are told the caller's organisation, and Credentials that with its key, both in
	// canonical form.
	Organisation, Credentials string
	// PromisesNotRun reports whether callers take the status as the promise that their request has not run and never will.
	PromisesNotRun func(status int) bool
}

// Limits bounds the requests of organisations over all VMs.
type Limits interface {
	// Admit counts a request of the organisation and reports whether it is within the limit, else after what time to return.
	Admit(o *organisation.Organisation, now time.Time) (ok bool, retryAfter time.Duration)
	// AdmitLate is like Admit for a request that came back too late to be answered in time. While the organisation is above its
	// limit, its other requests get what it may send, and such a request isn't counted.
	AdmitLate(o *organisation.Organisation, now time.Time) (ok bool, retryAfter time.Duration)
	// Return takes back a request that was admitted at the time and did not run.
	Return(o *organisation.Organisation, admitted time.Time)
}

// Forwarder forwards requests to upstreams.
type Forwarder interface {
	Serve(ctx context.Context, j forwarder.Job) forwarder.Result
}

// Config holds the dependencies of a server.
type Config struct {
	// VM is the name of the VM.
	VM        string
	Dialect   Dialect
	Forwarder Forwarder
	// Rules returns the routing rules in force, or nil if none are known.
	Rules func() *ruleset.Set
	// Joined returns a channel that is closed once rules and upstreams are known; it may be nil.
	Joined func() <-chan struct{}
	// RulesAge returns the time since the rules were last confirmed.
	RulesAge func() time.Duration
	// MaxRulesAge is the age of the rules up to which the VM answers that there is no rule for a request.
	MaxRulesAge time.Duration
	// ConfirmedAge returns the time since the call of the store was sent that confirmed the rules, with that in which machines were
	// suspended, and MaxKeyAge is the age up to which keys are accepted, or 0 for no bound.
	ConfirmedAge func() time.Duration
	MaxKeyAge    time.Duration
	// IsVM reports whether another VM has the IP address. It may be nil if there are no other VMs.
	IsVM func(netip.Addr) bool
	// Limits bounds the requests of organisations; it may be nil.
	Limits Limits
	// Heads is the budget for the heads of requests, and Connections the largest number of open connections.
	Heads       *head.Budget
	Connections int
	// IsTooLate reports whether a request with the given time left came back too late to be answered in time; it may be nil.
	IsTooLate func(rule *ruleset.Rule, left time.Duration) bool
	// Bodies is the budget for the bodies of requests and answers.
	Bodies *buffer.Budget
	// Pick returns the service for the rule's next request.
	Pick    func(*ruleset.Rule) string
	Metrics *telemetry.Metrics
	// Log receives one line for each request, within its rate limit.
	Log *logrus.Entry
}
