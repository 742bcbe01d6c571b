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

// counts are what became of the calls.
type counts struct {
	sent, answered, notRun, unknown, mismatched int
	byKind                                      map[string]int
	reasons                                     map[outcome.Reason]int
}

// traffic calls all services until it is stopped.
type traffic struct {
	mu     sync.Mutex
	counts counts
	// acts are the digests of the bodies of non-idempotent calls.
	acts map[string]struct{}
}

func newTraffic() *traffic {
	return &traffic{
		counts: counts{byKind: make(map[string]int), reasons: make(map[outcome.Reason]int)},
		acts:   make(map[string]struct{}),
	}
}

// run calls the service at a fixed rate until ctx is done, and waits for the calls in progress.
func (t *traffic) run(ctx context.Context, c *caller.Caller, s service) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		calls.Go(func() { t.call(c, s, fmt.Appendf(nil, "%s %d", s.name, n)) })
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
		t.acts[digest] = struct{}{}
	}
	switch o := out.(type) {
	case outcome.Answered:
		t.counts.answered++
		t.counts.byKind[s.kind]++
		if !answers(o, digest) {
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

// answers tells whether the answer is the one to the body with the digest.
func answers(o outcome.Answered, digest string) bool {
	var body struct {
		Digest string `json:"body-digest"`
	}
	return json.Unmarshal(o.Body, &body) == nil && body.Digest == digest && o.Status == http.StatusOK
}

// ranTwice asks all upstreams which bodies they ran and counts the acts that ran more than once.
func (t *traffic) ranTwice(f *fleet) (int, error) {
	runs := make(map[string]int)
	for _, all := range f.upstreams {
		for _, p := range all {
			if err := addRuns(runs, p.Address); err != nil {
				return 0, err
			}
		}
	}
	twice := 0
	for digest := range t.acts {
		if runs[digest] > 1 {
			twice++
		}
	}
	return twice, nil
}

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
