package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/caller"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

const (
	// callInterval is the time between two calls of a service.
	callInterval = 20 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// counts are the numbers of calls by outcome.
type counts struct {
	sent, answered, notRun, unknown, mismatched int
	byKind                                      map[string]int
	reasons                                     map[outcome.Reason]int
}

// traffic sends calls to the services and counts their outcomes.
type traffic struct {
	mu     sync.Mutex
	counts counts
	// nonIdempotent holds the digests of the bodies of non-idempotent calls.
	nonIdempotent map[string]struct{}
}

func newTraffic() *traffic {
	return &traffic{
		counts:        counts{byKind: make(map[string]int), reasons: make(map[outcome.Reason]int)},
		nonIdempotent: make(map[string]struct{}),
	}
}

// run calls the service at a fixed rate until ctx is done and then waits for the calls in progress.
func (t *traffic) run(ctx context.Context, c *caller.Caller, s service) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wg.Go(func() { t.call(c, s, fmt.Appendf(nil, "%s %d", s.name, n)) })
	}
}

func (t *traffic) call(c *caller.Caller, s service, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	digest := fmt.Sprintf("%016x", xxhash.Sum64(body))
	out := c.Call(ctx, caller.Call{Service: s.name, Kind: s.kind, Method: http.MethodPost, Body: body, Idempotent: s.idempotent})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.sent++
	if !s.idempotent {
		t.nonIdempotent[digest] = struct{}{}
	}
	switch o := out.(type) {
	case outcome.Answered:
		t.counts.answered++
		t.counts.byKind[s.kind]++
		if !matchesDigest(o, digest) {
			t.counts.mismatched++
		}
	case outcome.NotRun:
		t.counts.notRun++
		t.counts.reasons[o.Reason]++
	case outcome.Unknown:
		t.counts.unknown++
		t.counts.reasons[o.Reason]++
	}
}

// matchesDigest reports whether the answer has status 200 and belongs to the request body with the digest.
func matchesDigest(o outcome.Answered, digest string) bool {
	var body struct {
		Digest string `json:"body-digest"`
	}
	return json.Unmarshal(o.Body, &body) == nil && body.Digest == digest && o.Status == http.StatusOK
}

// countRepeated fetches the runs of all upstreams and returns the number of non-idempotent calls that ran more than once.
func (t *traffic) countRepeated(f *fleet) (int, error) {
	runs := make(map[string]int)
	for _, instances := range f.upstreams {
		for _, p := range instances {
			if err := addRuns(runs, p.Address); err != nil {
				return 0, err
			}
		}
	}
	repeated := 0
	for digest := range t.nonIdempotent {
		if runs[digest] > 1 {
			repeated++
		}
	}
	return repeated, nil
}

// addRuns adds the runs of one upstream, counted by the digest of the request body.
func addRuns(runs map[string]int, address string) error {
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + address + "/control/runs")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer func() { _ = res.Body.Close() }()
	var counts map[string]int
	if err := json.NewDecoder(res.Body).Decode(&counts); err != nil {
		return errors.Wrapf(err, "demo: runs of %s", address)
	}
	for digest, n := range counts {
		runs[digest] += n
	}
	return nil
}
