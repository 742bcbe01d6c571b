// Package soak runs gateways as processes on one machine, injects random, overlapping faults from outside and checks the
// requests and answers that callers and upstreams see.
package soak
