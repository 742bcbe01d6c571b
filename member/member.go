package member

import "time"

// State is the state of a VM in a table.
type State int

// The states, in the order in which one replaces another at the same counter.
const (
	// Candidate is a VM that is on a list and of which no gossip has been received.
	Candidate State = iota
	// Alive is a VM that serves.
	Alive
	// Leaving is a VM that announced a graceful shutdown.
	Leaving
	// Suspect is a VM that did not answer pings and may still refute the suspicion.
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
	// Address and PeerAddress are the IP address and port for callers and for peers.
	Address, PeerAddress string
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// State is the state at Counter.
	State State
	// Counter orders the states of a name.
	Counter uint64
	// IsLeaving is true if this incarnation announced a graceful shutdown or is listed as leaving.
	IsLeaving bool
}

// Usable reports whether the VM may be a home or be returned as an address to callers, that is, whether it may be alive
// and is not leaving.
func (m Member) Usable() bool {
	return !m.IsLeaving && (m.State == Alive || m.State == Suspect)
}

// Listed is an entry of the VM list or a peer address of the settings.
type Listed struct {
	Name, Address, PeerAddress, FailureDomain string
	// Leaving is true if the list marks the VM as leaving.
	Leaving bool
}

// Times are the durations of a table.
type Times struct {
	// Suspicion is the time in which a suspect may refute its suspicion.
	Suspicion time.Duration
	// Expiry is the time for which a dead entry is kept, so that late updates about it are recognized and the end of a
	// partition is detected.
	Expiry time.Duration
	// Joining is the time after its start in which a process takes over its name from an incarnation with a higher
	// counter.
	Joining time.Duration
}

// DefaultTimes returns the default durations: 1.5 s, 10 min and 10 s.
func DefaultTimes() Times {
	return Times{Suspicion: 1500 * time.Millisecond, Expiry: 10 * time.Minute, Joining: 10 * time.Second}
}
