package outcome

import "net/http"

// Outcome is the result of a request: Answered, NotRun or Unknown.
type Outcome interface {
	isOutcome()
}

// Answered is the whole answer of the upstream that ran the request.
type Answered struct {
	// Status is the upstream's HTTP status code.
	Status int
	// Header holds the upstream's end-to-end headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// NotRun says that no upstream ran the request and none will.
type NotRun struct {
	// Reason says why the request did not run.
	Reason Reason
	// Detail names the place of a fault in the request, where there is one.
	Detail string
}

// Unknown says that the request may or may not have run.
type Unknown struct {
	// Reason says why the result is not known.
	Reason Reason
	// Detail describes the fault.
	Detail string
}

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Unknown) isOutcome()  {}
