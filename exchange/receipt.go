package exchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/response"
)

// receiptPause is the time between two looks at a connection whose last bytes are not acknowledged yet. Round trips take some
// milliseconds.
const receiptPause = time.Millisecond

// sending is the write of one request.
type sending struct {
	// done is closed when the write has ended, with err.
	done chan struct{}
	err  error
}

// isWhole reports whether the write has ended and the whole request was written.
func (s *sending) isWhole() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// awaitReceipt waits until the upstream, which has ended its side of the connection, has received the whole request. It returns an
// error if the connection breaks before. The kernel reports a reset once only, to the reader or to the writer of a connection, and
// a reset that follows an end to no reader. The end of an answer without a length is therefore no evidence by itself.
func (a *attempt) awaitReceipt(ctx context.Context) error {
	select {
	case <-a.sending.done:
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	if a.sending.err != nil {
		return errors.Mark(a.sending.err, response.ErrBrokenOff)
	}
	for {
		switch unacknowledged, err := response.Unacknowledged(a.conn.raw); {
		case err != nil:
			return err
		case unacknowledged == 0:
			return nil
		}
		if !backoff.Sleep(ctx, receiptPause) {
			return errors.WithStack(ctx.Err())
		}
	}
}
