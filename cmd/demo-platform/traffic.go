package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// counts are the numbers of calls by outcome.
type counts struct {
	sent, answered, notRun, unknown, runTwice, mismatched int
	// kinds is the number of answered calls by path.
	kinds map[string]int
}

// String returns the counts as one line.
func (c counts) String() string {
	return fmt.Sprintf("sent=%d answered=%d not-run=%d unknown=%d run-twice=%d mismatched=%d",
		c.sent, c.answered, c.notRun, c.unknown, c.runTwice, c.mismatched)
}

// passed reports whether no non-idempotent call ran twice, no answer was mismatched, and each kind was answered.
func (c counts) passed() bool {
	return c.runTwice == 0 && c.mismatched == 0 && c.kinds["/read/x"] > 0 && c.kinds["/write/x"] > 0 && c.kinds["/new/x"] > 0
}

// traffic sends calls of each kind until ctx is done and returns the counts of their outcomes.
func (d *demo) traffic(ctx context.Context) counts {
	c := counts{kinds: make(map[string]int)}
	caller := standin.NewCaller(d.directoryAddresses)
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return c
		case <-ticker.C:
		}
		for path, method := range map[string]string{"/read/x": http.MethodGet, "/write/x": http.MethodPost, "/new/x": http.MethodGet} {
			wg.Go(func() {
				answer := caller.Call(context.WithoutCancel(ctx), method, path, "body")
				mu.Lock()
				defer mu.Unlock()
				c.add(path, answer)
			})
		}
	}
}

// add counts one call, except one answered with 404.
func (c *counts) add(path string, answer standin.CallResult) {
	switch answer.Status {
	case http.StatusOK:
		if !answer.MatchesRequest() {
			c.mismatched++
		}
		c.answered++
		c.kinds[path]++
	case http.StatusNotFound:
		// The route "/new/" exists only after the change of the configuration.
		return
	case http.StatusServiceUnavailable:
		c.notRun++
	default:
		c.unknown++
	}
	c.sent++
}
