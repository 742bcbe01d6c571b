package forwarder_test

import (
	"testing"
	"time"

	"github.com/fulmarhitch/fulmarhitch/forwarder"
)

// TestTimes guards against usual times that stragglers and slow upstreams draw up, so that requests count as late and are
// refused although they could be served in time.
func TestTimes(t *testing.T) {
	tests := map[string]struct {
		every int // each n-th request is slow
		slow  time.Duration
	}{
		"no slow ones": {every: 1 << 30},
		"stragglers":   {every: 30, slow: 770 * time.Millisecond},
		"a slow fifth": {every: 5, slow: 400 * time.Millisecond},
	}
	for name, test := range tests {
		times := forwarder.NewTimes()
		for i := 1; i <= 500; i++ {
			took := 100 * time.Millisecond
			if i%test.every == 0 {
				took = test.slow
			}
			times.Add(plain, took, 1)
			// A disturbed upstream tells nothing of the usual time.
			times.Add(plain, time.Second, 7)
		}
		if usual := times.Usual(plain); usual < 85*time.Millisecond || usual > 120*time.Millisecond {
			t.Errorf("%s: usual time %s", name, usual)
		}
	}
}
