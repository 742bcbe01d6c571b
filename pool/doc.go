// Package pool chooses a free slot among the upstreams of one group.
//
// It does no I/O and is not safe for concurrent use; its owner passes the current time.
package pool
