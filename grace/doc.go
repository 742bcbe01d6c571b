// Package grace holds entries that the store may drop in an outage, by the expiry of their leases, although the processes
// that they describe still run.
//
// An entry that is removed after an outage stays for a grace period, in which it may be registered again.
package grace
