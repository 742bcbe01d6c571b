package exchange

import (
	"github.com/fulmarhitch/fulmarhitch/notice"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// Class classifies the result of an exchange, in kebab case.
type Class string

// Classes of results.
const (
	// Answered marks a whole answer that carries the request's identifier; its outcome is Answered.
	Answered Class = "answered"
	// Refused marks a refusal before running; its outcome is NotRun.
	Refused Class = "refused"
	// Unsent marks a request of which no byte was written; its outcome is NotRun.
	Unsent Class = "unsent"
	// Lost marks a connection that broke after bytes were written; its outcome is Unknown.
	Lost Class = "lost"
	// Died marks a broken connection like Lost, after which the upstream also refused a new one; its outcome is Unknown.
	Died Class = "died"
	// TimedOut marks a request that was sent and not answered by its deadline; its outcome is Unknown.
	TimedOut Class = "timeout"
	// Cancelled marks a request that was cancelled by its caller after it was sent; its outcome is Unknown.
	Cancelled Class = "cancelled"
	// Truncated marks an answer that ended early, has no marked end or is too large; its outcome is Unknown.
	Truncated Class = "truncated"
	// Mismatched marks an answer that doesn't carry the request's identifier; its outcome is Unknown.
	Mismatched Class = "mismatched"
	// Unconfirmed marks a whole answer that leaves in doubt whether the request ran; its outcome is Unknown.
	Unconfirmed Class = "unconfirmed"
)

// Result is the result of one exchange.
type Result struct {
	// Outcome is the outcome to report to the caller.
	Outcome outcome.Outcome
	// Class classifies the result.
	Class Class
	// Status is the HTTP status code of the answer, or 0 without one.
	Status int
	// IsStamped reports whether the answer bears the mark of the upstream's own answers, and StatesNotRun whether it states that
	// the request did not run.
	IsStamped, StatesNotRun bool
	// Load is the load that the upstream reported; it is valid if HasLoad is true.
	Load    Load
	HasLoad bool
	// State is the state that the upstream reported, or empty.
	State State
	// Upstream is the identifier that the upstream reported for itself, or empty.
	Upstream string
	// Notice is what else the upstream stated about itself.
	Notice notice.Notice
}

func unsent(reason outcome.Reason, detail string) Result {
	return Result{Class: Unsent, Outcome: outcome.NotRun{Reason: reason, Detail: detail}}
}

func unknown(class Class, reason outcome.Reason, detail string) Result {
	return Result{Class: class, Outcome: outcome.Unknown{Reason: reason, Detail: detail}}
}
