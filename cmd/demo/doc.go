// Command demo runs the complete system as separate processes for about 20 s: a stand-in for the platform, six entry VMs
// in three failure domains, three upstreams for each of eight services, and callers of two tenants. During the traffic it
// kills an entry VM, drains an upstream and shuts down an entry VM gracefully.
//
// It prints one line of counts at the end and exits with status 0 only if no non-idempotent request ran more than once,
// no answer was mismatched and at least one request of every kind was answered.
package main
