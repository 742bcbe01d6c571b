// Package dispatch schedules the requests of one group of upstreams at the group's home. It holds the only queue of the
// group and assigns a request to an upstream when a slot is free, spills it to the home of another group, or refuses it.
//
// Core makes the decisions without I/O; Dispatcher runs a Core in its own goroutine.
package dispatch
