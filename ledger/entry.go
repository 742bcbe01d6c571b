package ledger

import "github.com/fulmarhitch/fulmarhitch/outcome"

// Entry is the answer of Begin: Started, Running, Finished or Refused.
type Entry interface {
	isEntry()
}

// Started says that the key is new: the caller runs the request and must call Finish with the key.
type Started struct{}

// Running says that the request of the key runs. Done is closed when it ends or the key is forgotten; Begin then
// returns the outcome.
type Running struct {
	Done <-chan struct{}
}

// Finished carries the outcome of the request of the key; nothing may be run.
type Finished struct {
	Outcome outcome.Outcome
}

// Refused says that the request did not run under this key and must not.
type Refused struct {
	Reason outcome.Reason
}

func (Started) isEntry()  {}
func (Running) isEntry()  {}
func (Finished) isEntry() {}
func (Refused) isEntry()  {}
