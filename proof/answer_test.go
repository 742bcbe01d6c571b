package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/caller"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// loadResults holds the results of the calls of one load.
type loadResults struct {
	mu sync.Mutex
	// byRequest holds the results by kind and body.
	byRequest map[[2]string]result
	// countByOutcome counts the calls that were not cancelled.
	countByOutcome map[string]int
	// unanswered lists, by kind, the calls that were neither cancelled nor answered.
	unanswered map[string][]string
}

// load sends calls of both kinds through package caller, 16 at a time, each with a different body. It cancels about every
// eighth call within 20 ms.
func (f *fleet) load(name string, calls int, timeout time.Duration) *loadResults {
	results := &loadResults{byRequest: make(map[[2]string]result), countByOutcome: make(map[string]int), unanswered: make(map[string][]string)}
	var entries []string
	for _, v := range f.vms {
		entries = append(entries, v.address)
	}
	c := caller.New(caller.Config{Entries: entries})
	defer c.Close()
	var workers sync.WaitGroup
	for w := range 16 {
		workers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(w), 1))
			for n := w; n < calls; n += 16 {
				kind, cancelAfter := []string{lookup, registration}[n/16%2], timeout
				if random.IntN(8) == 0 {
					cancelAfter = time.Duration(random.IntN(20)) * time.Millisecond
				}
				results.call(c, kind, fmt.Sprintf("%s %d", name, n), timeout, cancelAfter)
			}
		})
	}
	workers.Wait()
	return results
}

// call sends one call with the timeout as its deadline, cancels it after cancelAfter and records the result.
func (lr *loadResults) call(c *caller.Caller, kind, text string, timeout, cancelAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	timer := time.AfterFunc(cancelAfter, cancel)
	defer timer.Stop()
	out := c.Call(ctx, caller.Call{Service: "records", Kind: kind, Method: http.MethodPost, Body: []byte(text), Idempotent: kind == lookup})
	var r result
	switch o := out.(type) {
	case outcome.Answered:
		r = result{outcome: "answered", digest: answerDigest(o.Body), status: o.Status}
	case outcome.NotRun:
		r = result{outcome: "not-run", reason: string(o.Reason)}
	case outcome.Unknown:
		r = result{outcome: "unknown", reason: string(o.Reason)}
	}
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.byRequest[[2]string{kind, text}] = r
	if cancelAfter == timeout {
		lr.countByOutcome[r.outcome]++
		if r.outcome != "answered" {
			lr.unanswered[kind] = append(lr.unanswered[kind], fmt.Sprintf("%s: %+v", text, out))
		}
	}
}

// violations describes the violations of the outcome rules in the whole load.
func (lr *loadResults) violations(f *fleet) []string {
	runs := make(map[string]int)
	for _, u := range f.upstreams {
		for digest, n := range f.runsAt(u) {
			runs[digest] += n
		}
	}
	var all []string
	for call, r := range lr.byRequest {
		if v := violation(call[0], call[1], runs[bodyDigest(call[1])], r); v != "" {
			all = append(all, v)
		}
	}
	return all
}

// TestCallersGetTheirOwnAnswers guards against an answer that is truncated, belongs to another request or to one whose
// caller disconnected, and against the outcome "not run" of a request that ran.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	cases := map[string]string{
		"late":                  `{"late-ms":30}`,
		"chunked":               `{"chunked":true,"pad":20000}`,
		"large":                 `{"pad":300000}`,
		"cut by length":         `{"cut":"length","pad":9000}`,
		"cut in chunks":         `{"cut":"chunked","pad":9000}`,
		"cut without a mark":    `{"cut":"unmarked","pad":9000}`,
		"cut before the answer": `{"cut":"header"}`,
		"wrong identifier":      `{"wrong-id":"another"}`,
		"wrong and late":        `{"wrong-id":"another","late-ms":30,"chunked":true}`,
	}
	f := newFleet(t, fleetConfig{domains: 2, vms: 4, upstreams: 4, slots: 6})
	for name, faults := range cases {
		Convey(name, t, func() {
			// Each failure domain has one faulty upstream and one without faults.
			f.setFaults(f.upstreams[0], faults)
			f.setFaults(f.upstreams[1], faults)
			results := f.load(name, 400, 3*time.Second)
			So(results.violations(f), ShouldBeEmpty)
			So(results.countByOutcome["answered"], ShouldBeGreaterThan, 100)
		})
	}
}
