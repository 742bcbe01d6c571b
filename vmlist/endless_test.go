package vmlist_test

import (
	"maps"
	"testing"
	"time"

	"github.com/fulmarhitch/fulmarhitch/flood"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

// TestEndlessAnswers guards against a list of VMs that is read without a bound, in bytes or in time.
func TestEndlessAnswers(t *testing.T) {
	const maxHead, maxSent, maxTime = 4 << 20, 24 << 20, 10 * time.Second
	answers := flood.Heads()
	maps.Copy(answers, flood.Bodies("HTTP/1.1 200 OK\r\n"))
	for speed, interval := range map[string]time.Duration{"flood": 0, "drip": 20 * time.Millisecond} {
		for name, answer := range answers {
			t.Run(speed+", "+name, func(t *testing.T) {
				t.Parallel()
				s, err := flood.NewServer(answer, interval)
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				client := vmlist.New(s.Address())
				defer client.Close()
				start := time.Now()
				if _, err := client.List(t.Context()); err == nil {
					t.Error("an answer without an end was accepted")
				}
				if took := time.Since(start); took > maxTime {
					t.Errorf("read for %s", took)
				}
				if !s.IsIdle(maxTime) {
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
