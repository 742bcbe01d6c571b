package member

import "time"

// State is what a table holds about a VM.
type State int

// The states, in the order in which one replaces another at the same counter.
const (
	// Candidate is a VM that was named by a list and has not been heard of.
	Candidate State = iota
	// Alive is a VM that serves.
	Alive
	// Leaving is a VM that announced a planned stop.
	Leaving
	// Suspect is a VM that did not answer pings and may refute that.
	Suspect
	// Dead is a VM whose suspicion was not refuted in time.
	Dead
)

// String returns the state's name in kebab case.
func (s State) String() string {
	switch s {
	case Candidate:
		return "candidate"
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member is one entry VM process.
type Member struct {
	// Name is the VM's name.
	Name string
	// Incarnation is the process's incarnation as 16 hex digits; empty for a candidate.
	Incarnation string
	// Address and PeerAddress are IP address and port for callers and for peers.
	Address, PeerAddress string
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// State is the state at Counter.
	State State
	// Counter orders the states of a name.
	Counter uint64
	// Left tells that this incarnation announced a planned stop or is listed as leaving.
	Left bool
}

// Usable tells whether the VM may be a home or part of an address answer: it may be alive and is not leaving.
func (m Member) Usable() bool {
	return !m.Left && (m.State == Alive || m.State == Suspect)
}

// Listed is an entry of the VM list or a peer address of the settings.
type Listed struct {
	Name, Address, PeerAddress, FailureDomain string
	// Leaving tells that the list marks the VM as leaving.
	Leaving bool
}

// Times are the durations of a table.
type Times struct {
	// Suspicion is how long a suspect may refute.
	Suspicion time.Duration
	// Expiry is how long a dead entry is kept, so that late news of it are recognised and a healed partition is found.
	Expiry time.Duration
	// Joining is how long after its start a process takes its name over from an incarnation with a higher counter.
	Joining time.Duration
}

// DefaultTimes returns the durations of the design: 1.5 s, 10 min and 10 s.
func DefaultTimes() Times {
	return Times{Suspicion: 1500 * time.Millisecond, Expiry: 10 * time.Minute, Joining: 10 * time.Second}
}
