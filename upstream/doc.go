// Package upstream tracks one upstream at the home of its group: running requests, service time and health.
//
// It does no I/O and is not safe for concurrent use; its owner passes the current time.
package upstream
