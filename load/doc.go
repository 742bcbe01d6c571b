// Package load is an open-loop load generator that sends calls with the callers' library.
//
// Arrivals form a Poisson process, so that slow answers don't slow the load down. Latencies are measured from the
// planned arrival.
package load
