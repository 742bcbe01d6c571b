// Package dispatch is the home's duty for one group of upstreams: it holds the only queue of the group and binds a
// request to an upstream when a slot is free, spills it to the home of another group, or refuses it.
//
// Core makes the decisions without I/O; Dispatcher runs a Core in a goroutine of its own.
package dispatch
