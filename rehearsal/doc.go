// Package rehearsal tests the guarantees about configuration, draining upstreams, graceful shutdowns and the probe budget
// on fleets of whole entry VMs over real sockets. It contains only tests.
package rehearsal
