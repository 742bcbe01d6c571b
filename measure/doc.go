// Package measure compares policies with a central queue of perfect knowledge in virtual time.
//
// It drives the real dispatch.Core of each home. Upstreams, links and callers are fakes at the interfaces. Runs are
// deterministic for a seed. Times are virtual; latencies are those that the caller sees, in ms in the output.
package measure
