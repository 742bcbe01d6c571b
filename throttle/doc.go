// Package throttle decides which share of an organisation's requests may be admitted.
//
// Each organisation has a token bucket. Its level follows from the counts of the last window, which are read again for each
// decision: reports arrive late, and those of a slot may change until it leaves the window.
package throttle
