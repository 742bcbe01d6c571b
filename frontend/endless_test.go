package frontend_test

import (
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/flood"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// TestEndlessRequests guards against a request without an end that is read without a bound, in bytes or in time, or is run.
func TestEndlessRequests(t *testing.T) {
	const maxHead, maxBody, maxTime, limit = 64 << 10, 12 << 20, 40 * time.Second, 5 * time.Minute
	heads := map[string]string{
		"call":          "POST /v1/call/s/act/ HTTP/1.1\r\nHost: h\r\nFulmarhitch-Request-Id: 1\r\nFulmarhitch-Key: k\r\n",
		"unknown call":  "POST /v1/call/other/act/ HTTP/1.1\r\nHost: h\r\nFulmarhitch-Request-Id: 1\r\n",
		"configuration": "POST /v1/configuration?base=3 HTTP/1.1\r\nHost: h\r\n",
		"no base":       "POST /v1/configuration HTTP/1.1\r\nHost: h\r\n",
		"check":         "POST /v1/check HTTP/1.1\r\nHost: h\r\n",
		"addresses":     "GET /v1/addresses?service=s HTTP/1.1\r\nHost: h\r\n",
		"no page":       "POST /other HTTP/1.1\r\nHost: h\r\n",
	}
	for kind, head := range heads {
		requests := flood.RequestHeads()
		maps.Copy(requests, flood.RequestBodies(head))
		for speed, interval := range map[string]time.Duration{"flood": 0, "drip": time.Second} {
			for name, request := range requests {
				t.Run(kind+", "+speed+", "+name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						l := flood.NewListener()
						ran := serveOn(t, l, outcome.Answered{Status: http.StatusOK})
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
						if len(*ran) > 0 {
							t.Error("the request was run")
						}
					})
				})
			}
		}
	}
}
