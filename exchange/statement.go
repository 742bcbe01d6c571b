package exchange

import "github.com/fulmarhitch/fulmarhitch/outcome"

// Statement is what an answer states about the run of its request: Run, Refusal or Doubt.
type Statement interface {
	isStatement()
}

// Run states that the upstream has run the request and that this is the answer.
type Run struct{}

// Refusal states that the upstream has not run the request and won't.
type Refusal struct {
	// Outcome is the outcome of the request at this upstream.
	Outcome outcome.NotRun
}

// Doubt means that the answer may be read as a refusal but isn't one for certain, so that the request may have run.
type Doubt struct {
	// Outcome is the outcome of the request at this upstream.
	Outcome outcome.Unknown
}

func (Run) isStatement()     {}
func (Refusal) isStatement() {}
func (Doubt) isStatement()   {}
