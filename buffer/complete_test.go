package buffer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/buffer"
)

// TestCompleteBodyIsNotInterrupted guards against a request that is cancelled and gets no answer, because its connection is
// interrupted after its whole body has been read.
func TestCompleteBodyIsNotInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1 << 20
		b := buffer.New(limit, func(name string, _ int64) { t.Errorf("%s body was cut off", name) })
		complete := b.Open("complete", func() { t.Error("the connection of a complete body was interrupted") })
		if _, err := buffer.Read(t.Context(), strings.NewReader(strings.Repeat("x", 400<<10)), limit, complete); err != nil {
			t.Fatal(err)
		}
		other := b.Open("other", func() {})
		defer other.Close()
		time.AfterFunc(time.Millisecond, complete.Close)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := other.Grow(ctx, 300<<10); err != nil {
			t.Errorf("a body that waits for the complete one: %v", err)
		}
	})
}
