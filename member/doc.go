// Package member holds the SWIM table of entry VMs as a pure state machine.
//
// States of one VM name are ordered by counter, then incarnation, then state. The counter starts at the process's
// start time in milliseconds of Unix time, so that a restarted VM comes after its predecessor, and only the member
// itself raises it.
package member
