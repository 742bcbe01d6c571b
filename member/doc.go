// Package member implements the SWIM membership table of entry VMs as a state machine without I/O.
//
// The states of one VM name are ordered by counter, then by incarnation, then by state. The counter starts at the start
// time of the process in Unix milliseconds, so that a restarted VM supersedes its predecessor. Only the member itself
// raises its counter.
package member
