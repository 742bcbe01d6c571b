package relay_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmarhitch/fulmarhitch/flood"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/relay"
)

// closeTimeout is longer than a closed connection needs to reach the other side on a busy machine.
const closeTimeout = 10 * time.Second

// TestEndlessAnswers guards against a VM that follows another one and reads what that one sends without a bound, in bytes or
// in time.
func TestEndlessAnswers(t *testing.T) {
	const timeout, maxHead, maxSent = time.Second, 4 << 20, 40 << 20
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
	answers := flood.Heads()
	maps.Copy(answers, flood.Bodies("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"))
	answers["body of an error"] = flood.Stream{Start: "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n", Rest: " "}
	answers["compressed body"] = flood.Stream{
		Start: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Encoding: gzip\r\n\r\n", Rest: " "}
	for speed, interval := range map[string]time.Duration{"flood": 0, "drip": 20 * time.Millisecond} {
		for name, answer := range answers {
			t.Run(speed+", "+name, func(t *testing.T) {
				t.Parallel()
				s, err := flood.NewServer(answer, interval)
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				client := relay.NewClient(newTable("follower"))
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				if _, err := relay.NewPeer(client, s.Address()).Watch(ctx, mirror.Position{Revision: 1}, timeout); err == nil {
					t.Error("an answer without an end was accepted")
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
