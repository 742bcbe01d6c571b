package dispatch

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/pool"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// Class, State and Load are aliases of the types of package upstream.
type (
	Class = upstream.Class
	State = upstream.State
	Load  = upstream.Load
)

// Ticket is a request for a slot for one attempt.
type Ticket struct {
	Request *request.Request
	// Exclude names an upstream that must not be used, or is empty.
	Exclude string
	// Retry marks a second attempt, which the retry budget has to cover.
	Retry bool
	// Suspect marks a request that was in progress when an upstream died.
	Suspect bool
	// NoWait refuses the request unless a slot becomes free within the mean service time, as for a spill from
	// another home.
	NoWait bool
	// NoSpill excludes a spill to another group.
	NoSpill bool
	// Enqueued is the time of the first Acquire of a request that returns from a refused spill, and otherwise zero.
	Enqueued time.Time
}

// Result is how an attempt ended.
type Result struct {
	Class Class
	// Load and State are taken from the upstream's response; both may be zero.
	Load  Load
	State State
	// ServiceTime is the time between sending the request and receiving the whole response; zero stands for the time
	// since the grant.
	ServiceTime time.Duration
}

// Grant is the decision about a ticket: Assigned, Spill or Refused.
type Grant interface {
	isGrant()
}

// Assigned gives the request a slot of an upstream, which has to be freed by Release.
type Assigned struct {
	Upstream declaration.Upstream

	slot    pool.Slot
	granted time.Time
}

// Spill sends the request to the home of another group. It has to be ended by EndSpill.
type Spill struct {
	Group string

	sent time.Time
}

// Refused means that the request does not run here.
type Refused struct {
	Reason outcome.Reason
}

func (Assigned) isGrant() {}
func (Spill) isGrant()    {}
func (Refused) isGrant()  {}
