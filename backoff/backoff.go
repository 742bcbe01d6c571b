package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing pauses between the attempts of one task. It is not safe for concurrent use.
type Backoff struct {
	min, max, next time.Duration
}

// New returns a Backoff whose bound starts at minPause and doubles up to maxPause. It panics if minPause is not positive or
// maxPause is less than minPause.
func New(minPause, maxPause time.Duration) *Backoff {
	if minPause <= 0 || maxPause < minPause {
		panic("backoff: bounds must be positive and in ascending order")
	}
	return &Backoff{min: minPause, max: maxPause, next: minPause}
}

// Next returns the next pause, chosen at random between half of the current bound and all of it.
func (b *Backoff) Next() time.Duration {
	d := b.next
	b.next = min(2*b.next, b.max)
	return d/2 + rand.N(d/2+1)
}

// Reset sets the bound back to its minimum; it is called after a success.
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
