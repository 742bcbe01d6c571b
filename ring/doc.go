// Package ring joins two duties by a bounded buffer.
//
// The buffer is a Go channel, which is a ring with blocking ends that testing/synctest understands.
package ring
