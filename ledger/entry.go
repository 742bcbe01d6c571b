package ledger

import "github.com/fulmarhitch/fulmarhitch/outcome"

// Entry is the result of Begin: Started, Running, Finished or Refused.
type Entry interface {
	isEntry()
}

// Started means that the key is new: the caller runs the request and must call Finish with the key.
type Started struct{}

// Running means that the request with the key is running. Done is closed when the request ends or the key is dropped;
// Begin then returns the outcome.
type Running struct {
	Done <-chan struct{}
}

// Finished holds the outcome of the key; the caller must not run the request.
type Finished struct {
	Outcome outcome.Outcome
}

// Refused means that the request did not run with this key and must not.
type Refused struct {
	Reason outcome.Reason
}

func (Started) isEntry()  {}
func (Running) isEntry()  {}
func (Finished) isEntry() {}
func (Refused) isEntry()  {}
