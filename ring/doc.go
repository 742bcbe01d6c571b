// Package ring connects workers by a bounded buffer.
//
// The buffer is a Go channel, so that testing/synctest recognizes goroutines that block on it.
package ring
