// Package statement maps what responses, health endpoints and peers state of an upstream to its state, and back to the event
// that tells peers.
package statement
