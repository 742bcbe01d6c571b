// Package route runs a request from its arrival at an entry VM to its outcome. It forwards the request to the VM that
// its key names or to the home of its group, sends it to an upstream, and retries it where that is allowed.
//
// A request makes at most three hops between entry VMs: to the incarnation of the key, to the home of the group, and
// for a spill to the home of another group. The receiver of a hop never takes a hop of the same kind, so requests don't
// loop. A hop that ran nothing may be repeated.
package route
