package forwarder_test

import (
	"testing"
	"time"

	"github.com/fulmarhitch/fulmarhitch/forwarder"
)

// TestTimes guards against usual times that stragglers and slow upstreams raise, so that requests count as late and are
// refused although they could be served in time.
func TestTimes(t *testing.T) {
	tests := map[string]struct {
		slowEvery int // each n-th request is slow
		slow      time.Duration
	}{
		"no slow requests": {slowEvery: 1 << 30},
		"stragglers":       {slowEvery: 30, slow: 770 * time.Millisecond},
		"a slow fifth":     {slowEvery: 5, slow: 400 * time.Millisecond},
	}
	for name, test := range tests {
		times := forwarder.NewTimes()
		for i := 1; i <= 500; i++ {
			took := 100 * time.Millisecond
			if i%test.slowEvery == 0 {
				took = test.slow
			}
			times.Add(plain, took, 1)
			// Times at a slowed upstream don't affect the usual time.
			times.Add(plain, time.Second, 7)
		}
		if usual := times.Usual(plain); usual < 85*time.Millisecond || usual > 120*time.Millisecond {
			t.Errorf("%s: usual time %s", name, usual)
		}
	}
}
