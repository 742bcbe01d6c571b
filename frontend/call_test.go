package frontend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// TestCallPath guards against calls that are redirected instead of answered with an outcome, and against paths that
// reach another kind at the upstream.
func TestCallPath(t *testing.T) {
	text := "max-entry-vms = 1\ntenants = [\"t\"]\n[[failure-domain]]\nname = \"fd\"\nregion = \"r\"\n" +
		"[[service]]\nname = \"s\"\ntenant = \"t\"\nconnections = 4\n[[service.kind]]\nname = \"k\"\nclass = \"short\"\nidempotent = true\n" +
		"weight = 1\ntimeout = \"1s\"\n[[service.upstream]]\nname = \"u\"\naddress = \"127.0.0.1:1\"\nfailure-domain = \"fd\"\nslots = 1\n"
	d, err := declaration.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var ran string
	s := New(Config{
		Bodies:   buffer.New(1<<20, func(string, int64) {}),
		Listener: l, Metrics: http.NotFoundHandler(), Current: func() *generation.Current { return &generation.Current{Declaration: d} },
		Refuse: func(_ string, refusal outcome.NotRun) outcome.Outcome { return refusal },
		Run: func(_ context.Context, r *request.Request) outcome.Outcome {
			ran = r.Path
			return outcome.Answered{Status: http.StatusOK}
		},
	})
	cases := map[string]struct {
		path, ran, outcome string
		status             int
	}{
		"plain":          {"/v1/call/s/k/a?b=c", "a?b=c", header.Answered, 200},
		"empty segment":  {"/v1/call/s/k/a//b", "a//b", header.Answered, 200},
		"dots in names":  {"/v1/call/s/k/..a/.b", "..a/.b", header.Answered, 200},
		"parent":         {"/v1/call/s/k/../other/a", "", header.NotRun, 400},
		"escaped parent": {"/v1/call/s/k/%2e%2e/other/a", "", header.NotRun, 400},
		"escaped slash":  {"/v1/call/s/k/a%2F..%2Fb", "", header.NotRun, 400},
		"not a call":     {"/v1/calls/s/k/a", "", "", 404},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			ran = ""
			req := httptest.NewRequest(http.MethodGet, c.path, nil)
			req.Header.Set(header.RequestID, "id")
			w := httptest.NewRecorder()
			s.http.Handler.ServeHTTP(w, req)
			So(w.Code, ShouldEqual, c.status)
			So(w.Header().Get(header.Outcome), ShouldEqual, c.outcome)
			So(ran, ShouldEqual, c.ran)
		})
	}
}
