// Package queue holds the requests that wait for a slot of one group, ordered by weight and deadline.
//
// It does no I/O and is not safe for concurrent use; its owner passes the current time.
package queue
