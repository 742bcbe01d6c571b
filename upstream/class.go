package upstream

// Class is the way in which a request at an upstream ended.
type Class int

// Classes of ended requests.
const (
	// Answered is a complete answer that shows no fault of the upstream.
	Answered Class = iota
	// Failed is a complete answer that shows a fault of the upstream, such as status 500.
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
	// Cancelled is a request that its caller withdrew; it is no evidence about the upstream.
	Cancelled
	// Shed is a refusal before the request ran, because all slots of the upstream were taken. Another home of the
	// group may use them, so it shows no fault of the upstream.
	Shed
)

// State is the state of an upstream as reported by the upstream, its VM, a probe or a peer.
type State int

// States of an upstream.
const (
	// NoState means that no state was reported.
	NoState State = iota
	// Ready means that the upstream accepts requests.
	Ready
	// Cold means that the upstream accepts requests but is slow at first.
	Cold
	// Draining means that the upstream finishes running requests and accepts no new ones.
	Draining
	// Failing means that a probe failed.
	Failing
)

// Load is an upstream's own count of its requests and slots.
type Load struct {
	Running, Waiting, Slots int
}
