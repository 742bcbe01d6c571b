package upstream

// Class says how a request at an upstream ended.
type Class int

// Classes of ends.
const (
	// Answered is a whole answer that shows no fault of the upstream.
	Answered Class = iota
	// Failed is a whole answer that shows a fault of the upstream, such as status 500.
	Failed
	// Refused is a refusal before the request ran.
	Refused
	// Unsent is a request of which no byte was sent.
	Unsent
	// Lost is a broken connection or a broken answer after bytes were sent.
	Lost
	// Died is the death of the upstream while the request ran.
	Died
	// Timeout is a request without an answer at its deadline.
	Timeout
	// Cancelled is a request that its caller withdrew; it says nothing about the upstream.
	Cancelled
	// Shed is a refusal before the request ran, because all slots of the upstream were taken. Another home of the
	// group may use them, so it shows no fault of the upstream.
	Shed
)

// State is what an upstream or its VM says about itself.
type State int

// States of an upstream.
const (
	// Unstated is no statement.
	Unstated State = iota
	// Ready accepts work.
	Ready
	// Cold accepts work but is slow at first.
	Cold
	// Draining finishes running work and accepts no new work.
	Draining
	// Failing is a failed probe.
	Failing
)

// Load is an upstream's own count of its work.
type Load struct {
	Running, Waiting, Slots int
}
