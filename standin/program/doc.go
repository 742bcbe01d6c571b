// Package program runs the project's programs as child processes for the demo and for measurements. The load balancer
// itself starts no processes.
package program
