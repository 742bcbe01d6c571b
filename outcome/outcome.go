package outcome

import (
	"net/http"
	"time"
)

// Outcome is the result of a request: Answered, NotRun or Unknown.
type Outcome interface {
	isOutcome()
}

// Answered is the complete answer of the upstream that ran the request.
type Answered struct {
	// Status is the upstream's HTTP status code.
	Status int
	// Header holds the upstream's end-to-end headers.
	Header http.Header
	// Body is the complete body.
	Body []byte
}

// NotRun means that no upstream has run the request and none will.
type NotRun struct {
	// Reason is the reason why the request did not run.
	Reason Reason
	// Detail names the faulty part of the request, or is empty.
	Detail string
	// RetryAfter is the time after which the request may be served, or 0 if it isn't known.
	RetryAfter time.Duration
}

// Unknown means that the request may or may not have run.
type Unknown struct {
	// Reason is the reason why the result is not known.
	Reason Reason
	// Detail describes the fault.
	Detail string
}

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Unknown) isOutcome()  {}
