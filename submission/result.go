package submission

import "github.com/fulmarhitch/fulmarhitch/finding"

// Result is the result of a submission: Accepted, BaseMismatch, Invalid, Unavailable or Undecided.
type Result interface {
	isResult()
}

// Accepted means that the store holds or held the file at this generation.
type Accepted struct {
	Generation uint64
}

// BaseMismatch means that the file was not accepted, because the store's generation is not the expected base.
type BaseMismatch struct {
	Expected, Found uint64
}

// Invalid means that the file was not sent to the store, because of its findings.
type Invalid struct {
	Findings []finding.Finding
}

// Unavailable means that the file was not accepted, because the store cannot be used or holds a lower generation than
// the fleet.
type Unavailable struct {
	Cause error
}

// Undecided means that it is unknown whether the file was accepted or still will be.
type Undecided struct {
	Cause error
}

func (Accepted) isResult()     {}
func (BaseMismatch) isResult() {}
func (Invalid) isResult()      {}
func (Unavailable) isResult()  {}
func (Undecided) isResult()    {}
