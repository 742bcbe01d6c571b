package buffer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/buffer"
)

// endless is a body without an end, which delivers its chunks at intervals until it is interrupted.
type endless struct {
	interval time.Duration
	stop     chan struct{}
}

func (e *endless) Read(p []byte) (int, error) {
	select {
	case <-e.stop:
		return 0, io.ErrClosedPipe
	case <-time.After(e.interval):
		return len(p), nil
	}
}

// TestEndless guards against bodies without an end that take more memory than the budget or that keep small ones from being
// read, and against a reader that never ends.
func TestEndless(t *testing.T) {
	const limit, maxBody = 4 << 20, 64 << 20
	for name, bodies := range map[string]int{"one": 1, "two hundred": 200} {
		synctest.Test(t, func(t *testing.T) {
			evicted := make(chan string, 1000)
			b := buffer.New(limit, func(name string, _ int64) { evicted <- name })
			failed := make(chan error, bodies)
			for range bodies {
				go func() {
					e := &endless{interval: time.Millisecond, stop: make(chan struct{})}
					h := b.Open("endless", func() { close(e.stop) })
					defer h.Close()
					_, err := buffer.Read(t.Context(), e, maxBody, h)
					failed <- err
				}()
			}
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				if n := b.Used(); n > limit {
					t.Fatalf("%s: %d bytes held", name, n)
				}
				h := b.Open("small", func() { t.Errorf("%s: a small body was cut off", name) })
				body, err := buffer.Read(t.Context(), strings.NewReader("small"), maxBody, h)
				h.Close()
				if err != nil || string(body) != "small" {
					t.Fatalf("%s: small body %q, %v", name, body, err)
				}
			}
			time.Sleep(time.Minute)
			for range bodies {
				if err := <-failed; err == nil {
					t.Errorf("%s: a body without an end was read", name)
				}
			}
			if b.Used() != 0 || b.Evictions() != uint64(bodies) {
				t.Errorf("%s: %d bytes held, %d evictions", name, b.Used(), b.Evictions())
			}
			if len(evicted) != bodies {
				t.Errorf("%s: %d evictions were reported", name, len(evicted))
			}
			for range len(evicted) {
				if victim := <-evicted; victim != "endless" {
					t.Errorf("%s: %s was cut off", name, victim)
				}
			}
		})
	}
}

// TestRead guards against a body that is changed, or returned although it is too large or incomplete.
func TestRead(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789"), 10_000)
	tests := map[string]struct {
		body  io.Reader
		limit int64
		want  []byte
		err   error
	}{
		"empty":         {strings.NewReader(""), 10, []byte{}, nil},
		"short":         {strings.NewReader("short"), 10, []byte("short"), nil},
		"byte by byte":  {iotest.OneByteReader(strings.NewReader("short")), 10, []byte("short"), nil},
		"last and EOF":  {iotest.DataErrReader(strings.NewReader("short")), 10, []byte("short"), nil},
		"at the limit":  {bytes.NewReader(long), int64(len(long)), long, nil},
		"above it":      {bytes.NewReader(long), int64(len(long)) - 1, nil, buffer.ErrTooLarge},
		"cut off":       {io.MultiReader(bytes.NewReader(long), iotest.ErrReader(io.ErrUnexpectedEOF)), 1 << 20, nil, io.ErrUnexpectedEOF},
		"over a budget": {io.LimitReader(&endless{stop: make(chan struct{})}, 2<<20), 4 << 20, nil, buffer.ErrEvicted},
	}
	for name, test := range tests {
		b := buffer.New(1<<20, func(string, int64) {})
		h := b.Open(name, func() {})
		body, err := buffer.Read(t.Context(), test.body, test.limit, h)
		h.Close()
		if !bytes.Equal(body, test.want) || !errors.Is(err, test.err) {
			t.Errorf("%s: %d bytes, %v; want %d bytes, %v", name, len(body), err, len(test.want), test.err)
		}
	}
}

// TestWait guards against a body that waits for memory longer than its request.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := buffer.New(1<<20, func(string, int64) {})
		stuck := b.Open("stuck", func() {})
		if err := stuck.Grow(t.Context(), 1<<20); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h := b.Open("small", func() {})
		defer h.Close()
		if err := h.Grow(ctx, 10); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v", err)
		}
	})
}
