// Package stateconv converts the state of an upstream, as responses, health endpoints and peers report it, to an
// upstream.State, and an upstream.State to the event sent to peers.
package stateconv
