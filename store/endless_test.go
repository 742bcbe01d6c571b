package store

import (
	"context"
	"maps"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmarhitch/fulmarhitch/flood"
)

// closeTimeout is longer than a closed connection needs to reach the other side on a busy machine.
const closeTimeout = 10 * time.Second

// TestEndlessAnswers guards against a call of the store whose answer is read without a bound, in bytes or in time, or is taken
// for a definite one.
func TestEndlessAnswers(t *testing.T) {
	const timeout, maxHead, maxSent = time.Second, 4 << 20, 8 << 20
	calls := map[string]func(context.Context, *Client) bool{
		"get": func(ctx context.Context, c *Client) bool {
			_, err := c.Get(ctx, "k")
			return err == nil
		},
		"watch": func(ctx context.Context, c *Client) bool {
			_, _, err := c.Watch(ctx, "k", 1, timeout)
			return err == nil
		},
		"put": func(ctx context.Context, c *Client) bool {
			_, isUncertain := c.Put(ctx, "k", 1, nil).(Uncertain)
			return !isUncertain
		},
	}
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
	answers := flood.Heads()
	maps.Copy(answers, flood.Bodies("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"))
	answers["body of an error"] = flood.Stream{Start: "HTTP/1.1 503 Service Unavailable\r\n\r\n", Rest: " "}
	for kind, call := range calls {
		for speed, interval := range map[string]time.Duration{"flood": 0, "drip": 20 * time.Millisecond} {
			for name, answer := range answers {
				t.Run(kind+", "+speed+", "+name, func(t *testing.T) {
					t.Parallel()
					s, err := flood.NewServer(answer, interval)
					if err != nil {
						t.Fatal(err)
					}
					defer s.Close()
					client := New(s.Address())
					defer client.Close()
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					start := time.Now()
					if call(ctx, client) {
						t.Error("an answer without an end was accepted")
					}
					if took := time.Since(start); took > timeout+closeTimeout {
						t.Errorf("read for %s", took)
					}
					if !s.IsIdle(closeTimeout) {
						t.Error("the connection stays open")
					}
					limit := int64(maxSent)
					if _, isHead := flood.Heads()[name]; isHead {
						limit = maxHead
					}
					if n := s.Sent(); n > limit {
						t.Errorf("%d MiB were read, want at most %d MiB", n>>20, limit>>20)
					}
				})
			}
		}
	}
}
