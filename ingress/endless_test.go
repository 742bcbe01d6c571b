package ingress_test

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/flood"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/ingress"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// noForwarder reports requests that are forwarded.
type noForwarder struct{ t *testing.T }

func (f noForwarder) Serve(context.Context, forwarder.Job) forwarder.Result {
	f.t.Error("a request without an end was forwarded")
	return forwarder.Result{}
}

// TestEndlessRequests guards against a caller whose request has no end, and that is read without a bound, in bytes or in
// time, also if the request is refused before its body is read.
func TestEndlessRequests(t *testing.T) {
	const (
		maxHead = 300 << 10
		maxBody = 3 * maxBodies
		maxTime = 15 * time.Second
		limit   = 5 * time.Minute

		unfinished = "body that is not complete in time"
	)
	none := func() *ruleset.Set { return nil }
	known := func() *ruleset.Set { return newRules(0) }
	limited := func() *ruleset.Set {
		set := newRules(0)
		set.Limits.BodyBytes = 1000
		return set
	}
	head := "Id: 1\r\nDeadline: 2000\r\n"
	tests := map[string]struct {
		rules func() *ruleset.Set
		head  string
	}{
		"accepted":      {known, "POST /x HTTP/1.1\r\nHost: h\r\n" + head},
		"no rule":       {known, "POST /x HTTP/1.1\r\nHost: other\r\n" + head},
		"no identifier": {known, "POST /x HTTP/1.1\r\nHost: h\r\n"},
		"no rules":      {none, "POST /x HTTP/1.1\r\nHost: h\r\n" + head},
		"small limit":   {limited, "POST /x HTTP/1.1\r\nHost: h\r\n" + head},
		"one request":   {known, "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + head},
	}
	for kind, test := range tests {
		requests := flood.RequestHeads()
		maps.Copy(requests, flood.RequestBodies(test.head))
		requests[unfinished] = flood.Stream{Start: test.head + "Content-Length: 100000\r\n\r\n", Rest: "x"}
		for speed, interval := range map[string]time.Duration{"flood": 0, "drip": time.Second} {
			for name, request := range requests {
				if name == unfinished && interval == 0 {
					// Sent at once, it is complete.
					continue
				}
				t.Run(kind+", "+speed+", "+name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						l := flood.NewListener()
						s := ingress.New(l, newConfig(noForwarder{t}, test.rules))
						_ = s.Start(t.Context())
						report := flood.Call(l.Dial(), request, interval, limit)
						if report.Took > maxTime {
							t.Errorf("read for %s", report.Took)
						}
						bound := int64(maxBody)
						if _, isHead := flood.RequestHeads()[name]; isHead {
							bound = maxHead
						}
						if report.Sent > bound {
							t.Errorf("%d KiB were read, want at most %d KiB", report.Sent>>10, bound>>10)
						}
						_ = s.Stop(t.Context())
					})
				})
			}
		}
	}
}

// TestRefusedWithBody guards against a connection that is closed after a refusal, although the body of the refused request
// has arrived.
func TestRefusedWithBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := flood.NewListener()
		s := ingress.New(l, newConfig(fixedForwarder{outcome.Answered{Status: http.StatusOK}}, func() *ruleset.Set { return newRules(0) }))
		_ = s.Start(t.Context())
		c := l.Dial()
		reader := bufio.NewReader(c)
		for _, test := range []struct {
			host string
			want int
		}{{"other", http.StatusNotFound}, {"h", http.StatusOK}, {"other", http.StatusNotFound}, {"h", http.StatusOK}} {
			_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: "+test.host+"\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != test.want || resp.Close {
				t.Errorf("host %s: status %d, close %t", test.host, resp.StatusCode, resp.Close)
			}
			time.Sleep(5 * time.Second)
		}
		_ = c.Close()
		_ = s.Stop(t.Context())
	})
}
