package forwarder

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/admission"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// Result is the outcome of a request and the attempts that led to it.
type Result struct {
	// Outcome is the outcome that the caller is told.
	Outcome outcome.Outcome
	// Attempts lists the attempts started before the outcome.
	Attempts []Attempt
	// LeftTo tells to which requests it left a free slot last, or is empty.
	LeftTo admission.Order
}

// Attempt describes one attempt to run a request at an upstream, for logs.
type Attempt struct {
	// Upstream is where the request was sent, and Near reports whether it is in the VM's own failure domain. The next
	// fields hold the condition of the upstream at that time, and Cost is the cost by which it was chosen.
	Upstream roster.Upstream
	// VM is the VM that the request was passed to in place of an upstream, or empty. Upstream is then the one that answered there
	// without its service and address, and the fields of the condition are not set.
	VM          string
	Near        bool
	Load        exchange.Load
	LoadAge     time.Duration
	FailureRate float64
	// Limit is the limit of requests per second that the upstream stated; it is valid if HasLimit is true.
	Limit    float64
	HasLimit bool
	Cost     float64
	// Started is the time from the request's arrival to the attempt; Took is the attempt's duration, or 0 while it runs.
	Started, Took time.Duration
	// Class is the class of the result, or empty while the attempt runs.
	Class exchange.Class
	// Status is the HTTP status code of the answer, or 0 without one.
	Status int
	// IsStamped and StatesNotRun are what the answer says of its origin and of the run of the request.
	IsStamped, StatesNotRun bool
	// Hedge reports whether the attempt was started while an earlier one still ran.
	Hedge bool

	// expectedTime is the expected time at the upstream as a multiple of the usual service time.
	expectedTime float64
}

// Job is one request with the rule that applies to it.
type Job struct {
	Request *request.Request
	Rule    *ruleset.Rule
	// Priority is the priority of the request: that of its organisation if it has one, else that of the rule; 0 is the most urgent.
	Priority int
	// HealthPath is the path of the health endpoint of the service's upstreams.
	HealthPath string
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// HasLeft reports whether the caller has closed its connection, which a busy VM finds out earlier than by the context
	// passed to Serve; it may be nil.
	HasLeft func() bool
	// RulesVersion is the version of the rules to which Rule belongs.
	RulesVersion uint64
	// Passed reports whether another VM has passed the request on; it is then not passed on again.
	Passed bool
}
