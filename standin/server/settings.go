package server

import "time"

// Settings are the fixed properties of a stand-in.
type Settings struct {
	// Address is the IP address and port to listen on; port 0 lets the system choose.
	Address string
	// Slots is the number of requests that run at once; 0 stands for 3.
	Slots int
	// Waiting is the number of requests that may wait for a slot; more are shed.
	Waiting int
	// Mean is the mean of the exponential service time; 0 answers at once.
	Mean time.Duration
	// Stragglers makes 2 % of the requests run 50 times longer.
	Stragglers bool
	// Seed starts the random service times.
	Seed uint64
	// Cold is the number of first requests that run ColdFactor times longer.
	Cold int
	// ColdFactor is the slowdown of cold requests; 0 stands for 5.
	ColdFactor float64
	// ConnectionCost delays the first read of each new connection.
	ConnectionCost time.Duration
	// ProbeCost is the time for which a request of /health holds a slot.
	ProbeCost time.Duration
	// Crash ends the process of the program form; nil closes the listener and all connections instead.
	Crash func()
}

// Costs of the deployments as section 1.7 of the design page gives them.
const (
	// DefaultConnectionCost is the cost of a new connection.
	DefaultConnectionCost = time.Millisecond
	// DefaultProbeCost is the cost of a probe.
	DefaultProbeCost = 6 * time.Millisecond
)

const (
	stragglerShare  = 0.02
	stragglerFactor = 50
)
