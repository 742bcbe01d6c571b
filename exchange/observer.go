package exchange

// Observer learns of polls, connections and answers, from which it can tell whether upstreams are reached. Its methods must not
// block.
type Observer interface {
	// Polled is called before a poll is sent to the address.
	Polled(address string)
	// Dialing is called before a connection to the address is opened, and Connected afterwards if that succeeded.
	Dialing(address string)
	Connected(address string)
	// Heard is called when an answer of any upstream begins.
	Heard()
}

// unobserved is the observer of an exchanger without one.
type unobserved struct{}

// Polled does nothing.
func (unobserved) Polled(string) {}

// Dialing does nothing.
func (unobserved) Dialing(string) {}

// Connected does nothing.
func (unobserved) Connected(string) {}

// Heard does nothing.
func (unobserved) Heard() {}
