package ingress

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
	"github.com/fulmarhitch/fulmarhitch/telemetry"
)

// Dialect names the headers that callers send.
type Dialect struct {
	// RequestID identifies a request.
	RequestID string
	// Deadline holds the time in ms that the caller waits.
	Deadline string
}

// Forwarder takes a request to an upstream.
type Forwarder interface {
	Serve(ctx context.Context, j forwarder.Job) forwarder.Result
}

// Config holds what a server works with.
type Config struct {
	Dialect   Dialect
	Forwarder Forwarder
	// Rules returns the rules in force, or nil.
	Rules func() *ruleset.Set
	// RulesAge returns the time since the rules were last confirmed.
	RulesAge func() time.Duration
	// Pick returns the service that a rule sends its next request to.
	Pick    func(*ruleset.Rule) string
	Metrics *telemetry.Metrics
	// Log takes one line for each request, as far as its rate allows.
	Log *logrus.Entry
}
