package buffer

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// segmentSize is the size in bytes of the segments in which a body is read.
const segmentSize = 32 << 10

// segments holds free segments.
var segments = sync.Pool{New: func() any { return new([segmentSize]byte) }}

// ErrTooLarge is the error for a body above its limit.
var ErrTooLarge = errors.New("body is larger than the limit")

// Read reads a body of at most limit bytes to its end. Memory is taken as the body arrives, whatever length was announced.
// After an error, no part of the body is returned; the error is ErrEvicted if the body was cut off.
func Read(ctx context.Context, r io.Reader, limit int64, h *Hold) ([]byte, error) {
	var parts []*[segmentSize]byte
	defer func() {
		for _, p := range parts {
			segments.Put(p)
		}
	}()
	size, free := int64(0), 0
	for {
		if free == 0 {
			if err := h.Grow(ctx, segmentSize); err != nil {
				return nil, err
			}
			parts, free = append(parts, segments.Get().(*[segmentSize]byte)), segmentSize
		}
		n, err := r.Read(parts[len(parts)-1][segmentSize-free:])
		size, free = size+int64(n), free-n
		switch {
		case size > limit:
			return nil, errors.Wrapf(ErrTooLarge, "%d bytes", limit)
		case errors.Is(err, io.EOF):
			return join(ctx, parts, size, h)
		case err != nil:
			return nil, h.mark(err)
		}
	}
}

// join returns the body in one piece.
func join(ctx context.Context, parts []*[segmentSize]byte, size int64, h *Hold) ([]byte, error) {
	if err := h.Grow(ctx, size); err != nil {
		return nil, err
	}
	if err := h.finish(); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for _, p := range parts {
		body = append(body, p[:min(segmentSize, size-int64(len(body)))]...)
	}
	return body, nil
}
