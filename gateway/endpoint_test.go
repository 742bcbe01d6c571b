package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/flood"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/presence"
	"github.com/fulmarhitch/fulmarhitch/ratelimit"
	"github.com/fulmarhitch/fulmarhitch/relay"
	"github.com/fulmarhitch/fulmarhitch/throttle"
)

// TestEndlessRequests guards against a request without an end at the endpoints for other VMs, readiness checks and callers
// that look up addresses, which is read without a bound, in bytes or in time.
func TestEndlessRequests(t *testing.T) {
	const maxHead, maxBody, maxTime, limit = 64 << 10, 3 << 20, 30 * time.Second, 5 * time.Minute
	heads := map[string]string{
		"relay":     "POST /fulmarhitch.relay.v2.Relay/Follow HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n",
		"limits":    "POST /limits.v1/report HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n",
		"readiness": "GET /ready HTTP/1.1\r\nHost: h\r\n",
	}
	for endpoint, head := range heads {
		requests := flood.RequestHeads()
		maps.Copy(requests, flood.RequestBodies(head))
		for speed, interval := range map[string]time.Duration{"flood": 0, "drip": time.Second} {
			for name, request := range requests {
				t.Run(endpoint+", "+speed+", "+name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						l := flood.NewListener()
						e := newEndpoint(l, newHandler(endpoint), maxReportBytes)
						_ = e.Start(t.Context())
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
						_ = e.Stop(t.Context())
					})
				})
			}
		}
	}
}

// TestBody guards against a body that a handler does not get as it was sent, and against a call that ends because its handler
// waits for longer than the body may take.
func TestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := flood.NewListener()
		e := newEndpoint(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			select {
			case <-time.After(3 * endpointTimeout):
			case <-r.Context().Done():
				t.Error("the call was cancelled")
			}
			_, _ = w.Write(body)
		}), maxReportBytes)
		_ = e.Start(t.Context())
		client := http.Client{Transport: &http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) { return l.Dial(), nil },
		}}
		for name, body := range map[string]string{"none": "", "short": "short", "at the bound": strings.Repeat("b", maxReportBytes)} {
			resp, err := client.Post("http://h/", "text/plain", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			if string(got) != body || err != nil {
				t.Errorf("%s: %d bytes, %v; want %d bytes", name, len(got), err, len(body))
			}
		}
		client.CloseIdleConnections()
		_ = e.Stop(t.Context())
	})
}

// newHandler returns the handler of an endpoint.
func newHandler(endpoint string) http.Handler {
	switch endpoint {
	case "limits":
		return ratelimit.New(ratelimit.Config{Tolerance: throttle.Config{Window: time.Second}}).Handler()
	case "relay":
		l := relay.NewLog()
		l.Add(mirror.Batch{Whole: true, Revision: 1}, time.Now())
		return relay.Handler(l, presence.New(fleet.VM{Name: "vm"}, func([]fleet.VM) {}, logrus.NewEntry(&logrus.Logger{})))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
}
