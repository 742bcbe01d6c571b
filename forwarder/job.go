package forwarder

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// Result is what the caller is told, and how it came about.
type Result struct {
	// Outcome is what became of the request.
	Outcome outcome.Outcome
	// Attempts are the sends until the outcome.
	Attempts []Attempt
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
