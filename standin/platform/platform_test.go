package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/standin/platform"
	"github.com/fulmarhitch/fulmarhitch/store"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

// TestControl guards against control calls without effect and against uncounted calls, over real sockets.
func TestControl(t *testing.T) {
	Convey("Given the stand-in on a socket", t, func() {
		p := platform.New()
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		do := func(method, path, body string) (int, string) {
			req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
			So(err, ShouldBeNil)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return 0, ""
			}
			defer func() { _ = resp.Body.Close() }()
			data, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, strings.TrimSpace(string(data))
		}
		calls := []struct {
			method, path, body string
			status             int
			answer             string
		}{
			{"PUT", "/kv/k?expect=0", "one", 200, `{"version":1}`},
			{"PUT", "/kv/k?expect=0", "two", 409, `{"version":1}`},
			{"PUT", "/kv/k?expect=1", "two", 200, `{"version":2}`},
			{"GET", "/kv/k", "", 200, `{"value":"dHdv","version":2}`},
			{"GET", "/kv/k?watch-above=2&wait-ms=1", "", 304, ""},
			{"GET", "/kv/k?watch-above=9&wait-ms=60000", "", 200, `{"value":"dHdv","version":2}`},
			{"GET", "/kv/k?watch-above=x", "", 400, "*"},
			{"PUT", "/control/faults", `{"roll-back":{"key":"k","to-version":1}}`, 204, ""},
			{"GET", "/kv/k", "", 200, `{"value":"b25l","version":1}`},
			{"PUT", "/control/faults", `{"roll-back":{"key":"k","to-version":7}}`, 400, "*"},
			{"PUT", "/control/faults", `{"outages":true}`, 400, "*"},
			{"PUT", "/lease/l?holder=a&ttl-ms=60000", "", 200, `{"holder":"a"}`},
			{"PUT", "/lease/l?holder=b&ttl-ms=60000", "", 409, `{"holder":"a"}`},
			{"PUT", "/control/faults", `{"outage":true}`, 204, ""},
			{"GET", "/kv/k", "", 0, ""},
			{"PUT", "/control/vms", `{"vms":[{"name":"e1","state":"live"}]}`, 204, ""},
			{"GET", "/vms", "", 200, `{"vms":[{"name":"e1","address":"","peer-address":"","failure-domain":"","role":"","state":"live"}]}`},
		}
		for _, c := range calls {
			status, answer := do(c.method, c.path, c.body)
			So(status, ShouldEqual, c.status)
			if c.answer != "*" {
				So(answer, ShouldEqual, c.answer)
			}
		}
		// The HTTP client retries a GET if its reused connection was closed, so the number of gets is 3 or 4.
		_, counts := do("GET", "/control/counts", "")
		So(counts, ShouldContainSubstring, `"lease":2,"put":3,"vms":1,"watch":3}`)
	})
}

// TestLag guards against a VM list that ignores its lag, and against a watch that keeps waiting in an outage.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a VM list that lags by 3 s and a waiting watch", t, func() {
			p := platform.New()
			p.SetFaults(platform.Faults{VMListLag: 3 * time.Second})
			visibleList := func() string {
				w := httptest.NewRecorder()
				p.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/vms", nil))
				return w.Body.String()
			}
			p.SetVMs([]vmlist.VM{{Name: "e1"}})
			So(visibleList(), ShouldContainSubstring, "e1")
			p.SetVMs([]vmlist.VM{{Name: "e2"}})
			time.Sleep(2 * time.Second)
			So(visibleList(), ShouldContainSubstring, "e1")
			time.Sleep(time.Second)
			So(visibleList(), ShouldContainSubstring, "e2")

			watchErr := make(chan error)
			go func() {
				_, _, err := store.NewWithTransport("store", p.Transport()).Watch(context.Background(), "k", 0, time.Minute)
				watchErr <- err
			}()
			synctest.Wait()
			start := time.Now()
			p.SetFaults(platform.Faults{Outage: true})
			So(<-watchErr, ShouldNotBeNil)
			So(time.Since(start), ShouldEqual, 0)
		})
	})
}
