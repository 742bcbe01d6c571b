// Package registration keeps a VM's entry in the store alive under a lease.
//
// The lease proves nothing to its holder; it only lets others notice that the holder is gone.
package registration
