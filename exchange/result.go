package exchange

import (
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// Class is the kind of end that an exchange had, in kebab case.
type Class string

// Classes of results.
const (
	// Answered marks a whole answer that names its request; its outcome is Answered.
	Answered Class = "answered"
	// Refused marks a refusal before running; its outcome is NotRun.
	Refused Class = "refused"
	// Unsent marks a request of which no byte was written; its outcome is NotRun.
	Unsent Class = "unsent"
	// Lost marks a connection that broke after bytes were written; its outcome is Unknown.
	Lost Class = "lost"
	// Died is Lost, where the upstream then also refused a new connection.
	Died Class = "died"
	// TimedOut marks a request that was sent and not answered by its deadline; its outcome is Unknown.
	TimedOut Class = "timeout"
	// Cancelled marks a request that was sent and given up by its caller; its outcome is Unknown.
	Cancelled Class = "cancelled"
	// Truncated marks an answer that ended early, whose end can't be told or that is too large; its outcome is Unknown.
	Truncated Class = "truncated"
	// Mismatched marks an answer that doesn't name its request; its outcome is Unknown.
	Mismatched Class = "mismatched"
)

// Result is the end of one exchange.
type Result struct {
	// Outcome is what the caller may be told.
	Outcome outcome.Outcome
	// Class is the kind of end.
	Class Class
	// Load is the load that the upstream reported; it is valid if HasLoad is true.
	Load    Load
	HasLoad bool
	// State is the state that the upstream reported, or empty.
	State State
	// Upstream is the identifier that the upstream reported of itself, or empty.
	Upstream string
}

func unsent(reason outcome.Reason, detail string) Result {
	return Result{Class: Unsent, Outcome: outcome.NotRun{Reason: reason, Detail: detail}}
}

func unknown(class Class, reason outcome.Reason, detail string) Result {
	return Result{Class: class, Outcome: outcome.Unknown{Reason: reason, Detail: detail}}
}
