// Package load is an open-loop load generator that sends calls with the caller library.
//
// Arrivals are a Poisson process that is independent of the answers, so that slow answers don't reduce the load.
// Latencies are measured from the scheduled arrival.
package load
