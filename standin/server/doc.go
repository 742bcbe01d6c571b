// Package server is a stand-in for an upstream instance, used by tests and the demo.
//
// It serves the upstream side of the protocol over HTTP/1.1 with a fixed number of slots, a bounded queue and
// service times drawn from a seeded random generator. Faults can be injected while it runs.
package server
