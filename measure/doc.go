// Package measure compares load-balancing policies with a central queue of perfect knowledge in virtual time.
//
// It drives the real dispatch.Core of each home; upstreams, links and callers are simulated. Runs are deterministic for a
// seed. Latencies are those that the caller sees, in ms in the output.
package measure
