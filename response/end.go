package response

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrBrokenOff is the error for a response without a length whose connection did not close in order.
var ErrBrokenOff = errors.New("connection broke before the whole request was received")

// Unacknowledged returns the number of written bytes whose receipt the other side has not acknowledged. It returns an error unless
// the other side has ended its writes and the connection is still open in the other direction. A nil connection is an error.
func Unacknowledged(c syscall.RawConn) (n int, err error) {
	if c == nil {
		return 0, errors.WithStack(ErrBrokenOff)
	}
	controlErr := c.Control(func(fd uintptr) {
		if n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			return
		}
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State != unix.BPF_TCP_CLOSE_WAIT {
			err = ErrBrokenOff
		}
	})
	return n, errors.WithStack(errors.CombineErrors(controlErr, err))
}
