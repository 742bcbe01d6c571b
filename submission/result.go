package submission

import "github.com/fulmarhitch/fulmarhitch/finding"

// Result tells what became of a submission: Accepted, Lost, Invalid, Unavailable or Undecided.
type Result interface {
	isResult()
}

// Accepted says that the store holds or held the file at this generation.
type Accepted struct {
	Generation uint64
}

// Lost says that the file was not accepted, because the store's generation is not the expected base.
type Lost struct {
	Expected, Found uint64
}

// Invalid says that the file was not sent to the store, because of its findings.
type Invalid struct {
	Findings []finding.Finding
}

// Unavailable says that the file was not accepted, because the store can't be used or is behind the fleet.
type Unavailable struct {
	Cause error
}

// Undecided says that the file may or may not be accepted, now or later.
type Undecided struct {
	Cause error
}

func (Accepted) isResult()    {}
func (Lost) isResult()        {}
func (Invalid) isResult()     {}
func (Unavailable) isResult() {}
func (Undecided) isResult()   {}
