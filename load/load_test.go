package load_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/finding"
	"github.com/fulmarhitch/fulmarhitch/load"
)

// startServer starts a server that acts as entry VM and as upstream. Every tenth answer has the ID of another request.
func startServer(t *testing.T) string {
	var n atomic.Int64
	s := httptest.NewUnstartedServer(nil)
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/addresses" {
			_, _ = fmt.Fprintf(w, `{"lifetime-ms":5000,"now-ms":1,"addresses":[{"address":%q,"incarnation":"0000000000000001"}]}`, s.Listener.Addr())
			return
		}
		w.Header().Set("Fulmarhitch-Request-Id", r.Header.Get("Fulmarhitch-Request-Id"))
		w.Header().Set("Fulmarhitch-Outcome", "answered")
		switch {
		case n.Add(1)%10 == 0:
			w.Header().Set("Fulmarhitch-Request-Id", "x")
		case strings.Contains(r.URL.Path, "/no/"):
			w.Header().Set("Fulmarhitch-Outcome", "not-run")
		}
	})
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestRun guards against calls that are missing from the report and against different arrivals with the same seed.
func TestRun(t *testing.T) {
	Convey("every arrival has one outcome", t, func() {
		var totals [2]int
		for i := range totals {
			address := startServer(t)
			l, err := load.New(load.Config{
				Entries: []string{address}, Direct: address, Rate: 2000, Duration: 200 * time.Millisecond, Seed: 3, Body: 10,
				Mix: []load.Share{{Service: "s", Kind: "k", Weight: 3, Timeout: time.Minute}, {Service: "s", Kind: "no", Weight: 1, Timeout: time.Minute}},
			})
			So(err, ShouldBeNil)
			r := l.Run(context.Background())
			So(len(r.Lines), ShouldEqual, 4)
			mismatched := 0
			for _, line := range r.Lines {
				totals[i] += line.Answered + line.NotRun + line.Unknown + line.Mismatched + line.Dropped
				mismatched += line.Mismatched
			}
			So(mismatched, ShouldEqual, totals[i]/10)
			So(r.Lines[0].P99, ShouldBeGreaterThan, 0)
			So(r.Lines[1].Answered, ShouldEqual, 0)
			var b bytes.Buffer
			So(r.Table(&b), ShouldBeNil)
			So(r.JSON(&b), ShouldBeNil)
			So(b.String(), ShouldContainSubstring, `"way":"direct","service":"s","kind":"no"`)
		}
		So(totals[0], ShouldBeBetween, 300, 500)
		So(totals[0], ShouldEqual, totals[1])
	})
	Convey("a run that exceeds the limits is refused with all findings", t, func() {
		_, err := load.New(load.Config{Rate: 1e9, Duration: time.Hour})
		So(len(finding.Of(err)), ShouldEqual, 4)
	})
}
