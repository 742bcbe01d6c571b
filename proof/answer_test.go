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

// traffic holds what the callers of a load were told, by kind and body.
type traffic struct {
	mu   sync.Mutex
	told map[[2]string]told
	// count counts the callers that waited by outcome.
	count map[string]int
	// unanswered lists, by kind, what other callers that waited were told.
	unanswered map[string][]string
}

// load sends calls of both kinds with bodies of their own by the callers' library, 16 at a time. Every eighth caller
// goes away in the middle.
func (f *fleet) load(name string, calls int, timeout time.Duration) *traffic {
	tr := &traffic{told: make(map[[2]string]told), count: make(map[string]int), unanswered: make(map[string][]string)}
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
				kind, patience := []string{lookup, act}[n/16%2], timeout
				if random.IntN(8) == 0 {
					patience = time.Duration(random.IntN(20)) * time.Millisecond
				}
				tr.call(c, kind, fmt.Sprintf("%s %d", name, n), timeout, patience)
			}
		})
	}
	workers.Wait()
	return tr
}

// call sends one call; a caller whose patience is below the timeout goes away without notice of its deadline.
func (tr *traffic) call(c *caller.Caller, kind, text string, timeout, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	timer := time.AfterFunc(patience, cancel)
	defer timer.Stop()
	out := c.Call(ctx, caller.Call{Service: "records", Kind: kind, Method: http.MethodPost, Body: []byte(text), Idempotent: kind == lookup})
	var t told
	switch o := out.(type) {
	case outcome.Answered:
		t = told{outcome: "answered", digest: digestOf(o.Body), status: o.Status}
	case outcome.NotRun:
		t = told{outcome: "not-run", reason: string(o.Reason)}
	case outcome.Unknown:
		t = told{outcome: "unknown", reason: string(o.Reason)}
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.told[[2]string{kind, text}] = t
	if patience == timeout {
		tr.count[t.outcome]++
		if t.outcome != "answered" {
			tr.unanswered[kind] = append(tr.unanswered[kind], fmt.Sprintf("%s: %+v", text, out))
		}
	}
}

// broken lists the broken promises of the whole load.
func (tr *traffic) broken(f *fleet) []string {
	runs := make(map[string]int)
	for _, u := range f.upstreams {
		for digest, n := range f.ran(u) {
			runs[digest] += n
		}
	}
	var all []string
	for call, t := range tr.told {
		if b := broken(call[0], call[1], runs[digestOfBody(call[1])], t); b != "" {
			all = append(all, b)
		}
	}
	return all
}

// TestCallersGetTheirOwnAnswers guards against an answer that is cut, belongs to another request or comes from one that
// its caller left, and against "not run" told of a request that ran.
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
	f := newFleet(t, shape{domains: 2, vms: 4, upstreams: 4, slots: 6})
	for name, faults := range cases {
		Convey(name, t, func() {
			// One faulty upstream in each failure domain and one sound one beside it.
			f.faults(f.upstreams[0], faults)
			f.faults(f.upstreams[1], faults)
			tr := f.load(name, 400, 3*time.Second)
			So(tr.broken(f), ShouldBeEmpty)
			So(tr.count["answered"], ShouldBeGreaterThan, 100)
		})
	}
}
