package detour_test

import (
	"maps"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/flood"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// TestEndlessAnswers guards against a VM that passes a request on and reads what the other VM sends without a bound, in bytes or in
// time, or takes it for a definite outcome.
func TestEndlessAnswers(t *testing.T) {
	const (
		timeout = time.Second
		// closeTimeout is longer than a closed connection needs to reach the other side on a busy machine.
		closeTimeout    = 10 * time.Second
		maxAnswer       = 1 << 20
		maxSent         = 8 << 20
		head, ownAnswer = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n", "HTTP/1.1 503 Service Unavailable\r\nX-Id: r1\r\nFulmarhitch-Outcome: not-run\r\n\r\n"
	)
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
	answers := flood.Heads()
	maps.Copy(answers, flood.Bodies(head))
	answers["body of an outcome"] = flood.Stream{Start: ownAnswer, Rest: " "}
	for speed, interval := range map[string]time.Duration{"flood": 0, "drip": 20 * time.Millisecond} {
		for name, answer := range answers {
			t.Run(speed+", "+name, func(t *testing.T) {
				t.Parallel()
				s, err := flood.NewServer(answer, interval)
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				d := newDetour(fleet.VM{Name: "b", FailureDomain: "a", Address: s.Address(), Serving: true})
				defer d.Close()
				r := newRequest()
				r.Deadline = time.Now().Add(timeout)
				res := d.DoFor(t.Context(), t.Context(), r, 12, maxAnswer)
				if _, isUnknown := res.Outcome.(outcome.Unknown); !isUnknown {
					t.Errorf("outcome %+v of a request that was sent", res.Outcome)
				}
				if !s.IsIdle(closeTimeout) {
					t.Error("the connection stays open")
				}
				if n := s.Sent(); n > maxSent {
					t.Errorf("%d MiB were read, want at most %d MiB", n>>20, maxSent>>20)
				}
			})
		}
	}
}
