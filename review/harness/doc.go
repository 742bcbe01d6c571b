// Command harness plays the cases of the review that can't be put as days of the bench.
//
// It starts gateways as separate processes, with the command of the deploy file, and serves the project's stand-ins for the store,
// the instances and the clients itself, on loopback addresses.
package main
