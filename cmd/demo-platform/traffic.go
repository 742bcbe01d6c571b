package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// counts are the ends of all calls.
type counts struct {
	sent, answered, notRun, unknown, runTwice, mismatched int
	// kinds counts the answers by path.
	kinds map[string]int
}

// String returns the line that the demo ends with.
func (c counts) String() string {
	return fmt.Sprintf("sent=%d answered=%d not-run=%d unknown=%d run-twice=%d mismatched=%d",
		c.sent, c.answered, c.notRun, c.unknown, c.runTwice, c.mismatched)
}

func (c counts) isGood() bool {
	return c.runTwice == 0 && c.mismatched == 0 && c.kinds["/read/x"] > 0 && c.kinds["/write/x"] > 0 && c.kinds["/new/x"] > 0
}

// traffic sends calls of each kind until ctx is done and counts their ends.
func (d *demo) traffic(ctx context.Context) counts {
	c := counts{kinds: make(map[string]int)}
	caller := standin.NewCaller(d.directories)
	var mu sync.Mutex
	var all sync.WaitGroup
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			all.Wait()
			return c
		case <-ticker.C:
		}
		for path, method := range map[string]string{"/read/x": http.MethodGet, "/write/x": http.MethodPost, "/new/x": http.MethodGet} {
			all.Go(func() {
				a := caller.Call(context.WithoutCancel(ctx), method, path, "body")
				mu.Lock()
				defer mu.Unlock()
				c.add(path, a)
			})
		}
	}
}

// add counts one call.
func (c *counts) add(path string, a standin.Answer) {
	switch a.Status {
	case http.StatusOK:
		if !a.IsOwn() {
			c.mismatched++
		}
		c.answered++
		c.kinds[path]++
	case http.StatusNotFound:
		// The route is not there before the change of the configuration.
		return
	case http.StatusServiceUnavailable:
		c.notRun++
	default:
		c.unknown++
	}
	c.sent++
}
