// Package registration keeps a VM's entry in the store under a lease.
//
// The lease guarantees nothing to its holder; its expiry only shows other processes that the holder is gone.
package registration
