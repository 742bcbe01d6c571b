package keepalive

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
)

// HasLeft reports whether the caller has closed the connection of the request with the context. It doesn't wait, and it
// reports false while bytes have arrived that have not been read.
//
// The HTTP server cancels the context of a request whose caller has left, but only once a goroutine of its own has run.
func HasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.raw != nil && c.hasLeft()
}

// hasLeft peeks at the connection. A read through the connection would wait for the one that the HTTP server has pending.
func (c *conn) hasLeft() bool {
	left := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || errors.IsAny(err, syscall.ECONNRESET, syscall.ETIMEDOUT)
	})
	// An error means that the connection is closed on this side.
	return left || err != nil
}
