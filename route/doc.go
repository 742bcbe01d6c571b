// Package route takes a request from an entry VM to its outcome: to the VM that its key names, to the home of its
// group, to an upstream, and to a retry where that is allowed.
//
// At most three hops join entry VMs: to the incarnation of the key, to the home of the group, and for a spill to
// the home of another group. No hop is taken twice.
package route
