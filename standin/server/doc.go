// Package server is a stand-in of an upstream instance for tests and the demo.
//
// It serves the upstream side of the protocol over HTTP/1.1 with a fixed number of slots, a short waiting list and
// service times from a seeded distribution. Faults can be switched on while it runs.
package server
