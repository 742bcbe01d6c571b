package server

import "time"

// Settings are the settings of a stand-in; they don't change while it runs.
type Settings struct {
	// Address is the IP address and port to listen on; port 0 lets the system choose.
	Address string
	// Slots is the number of requests that run at once; 0 means 3.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot; more are shed.
	QueueLimit int
	// Mean is the mean of the exponentially distributed service times; with 0 every request is answered at once.
	Mean time.Duration
	// Stragglers makes 2 % of the requests run 50 times longer.
	Stragglers bool
	// Seed is the seed of the random service times.
	Seed uint64
	// Cold is the number of requests after the start that run ColdFactor times longer.
	Cold int
	// ColdFactor is the slowdown of cold requests; 0 means 5.
	ColdFactor float64
	// ConnectionCost delays the first read of each new connection.
	ConnectionCost time.Duration
	// ProbeCost is the time for which a request to /health holds a slot.
	ProbeCost time.Duration
	// Crash is called for a crash, such as to exit the process; nil closes the listener and all connections instead.
	Crash func()
}

// Costs in deployments, from section 1.7 of the design page.
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
