// Package usage counts the requests of organisations in a sliding window.
//
// The window consists of slots on the steady clock of one process. Counts pass between VMs by the ages of their slots, so that
// no times of two VMs are compared.
package usage
