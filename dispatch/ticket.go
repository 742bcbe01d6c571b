package dispatch

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/pool"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// Class, State and Load are the terms of package upstream.
type (
	Class = upstream.Class
	State = upstream.State
	Load  = upstream.Load
)

// Ticket asks for a slot for one attempt of a request.
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
	// NoSpill keeps the request in the group.
	NoSpill bool
	// Enqueued is the time of the first Acquire of a request that returns from a refused spill, else zero.
	Enqueued time.Time
}

// Result is how an attempt ended.
type Result struct {
	Class Class
	// Load and State are what the upstream's response says; both may be zero.
	Load  Load
	State State
	// ServiceTime is the time between sending and the whole response; zero stands for the time since the grant.
	ServiceTime time.Duration
}

// Grant is the decision about a ticket: Bound, Spill or Refused.
type Grant interface {
	isGrant()
}

// Bound assigns the request to an upstream. It has to be given back by Release.
type Bound struct {
	Upstream declaration.Upstream

	slot    pool.Slot
	granted time.Time
}

// Spill sends the request to the home of another group. It has to be given back by Return.
type Spill struct {
	Group string

	sent time.Time
}

// Refused says that the request does not run here.
type Refused struct {
	Reason outcome.Reason
}

func (Bound) isGrant()   {}
func (Spill) isGrant()   {}
func (Refused) isGrant() {}
