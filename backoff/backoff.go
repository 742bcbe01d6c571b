package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is the growing pause between the attempts of one duty. It serves one goroutine.
type Backoff struct {
	min, max, next time.Duration
}

// New returns a back-off that starts at least and doubles up to most; it panics if least is not positive.
func New(least, most time.Duration) *Backoff {
	if least <= 0 || most < least {
		panic("backoff: bounds are not positive and ascending")
	}
	return &Backoff{min: least, max: most, next: least}
}

// Next returns the next pause, drawn between half of the current bound and the whole of it.
func (b *Backoff) Next() time.Duration {
	d := b.next
	b.next = min(2*b.next, b.max)
	return d/2 + rand.N(d/2+1)
}

// Reset returns to the first bound after a success.
func (b *Backoff) Reset() {
	b.next = b.min
}

// Wait sleeps for the next pause and returns true, or returns false once ctx is done.
func (b *Backoff) Wait(ctx context.Context) bool {
	return Sleep(ctx, b.Next())
}

// Sleep waits for d and returns true, or returns false once ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
