// Package soak runs gateways as processes on one machine, injects faults from outside in random series that overlap, and
// checks what callers and upstreams see.
package soak
