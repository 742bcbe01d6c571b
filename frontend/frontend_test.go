package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/addressing"
	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/frontend"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/submission"
)

// serve starts a server whose requests end with the outcome, and returns its address and the requests that it ran.
func serve(t *testing.T, out outcome.Outcome) (string, *[]*request.Request) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.Addr().String(), serveOn(t, l, out)
}

// maxBodies is the memory for bodies of the servers of these tests.
const maxBodies = 24 << 20

// serveOn is like serve with a listener.
func serveOn(t *testing.T, l net.Listener, out outcome.Outcome) *[]*request.Request {
	log := logrus.New()
	log.SetOutput(io.Discard)
	current := &generation.Current{Envelope: envelope.Envelope{Generation: 3, Submission: "x"}, Declaration: &declaration.Declaration{
		Services: []declaration.Service{
			{Name: "s", Tenant: "t", MaxBody: 8, Kinds: []declaration.Kind{
				{Name: "get", Idempotent: true, Timeout: time.Second}, {Name: "act", Timeout: time.Second}}},
			{Name: "large", Tenant: "t", MaxBody: 16 << 20, Kinds: []declaration.Kind{{Name: "act", Timeout: time.Second}}},
		}}}
	var ran []*request.Request
	s := frontend.New(frontend.Config{
		Bodies:   buffer.New(maxBodies, func(string, int64) {}),
		Listener: l, Current: func() *generation.Current { return current }, Metrics: http.NotFoundHandler(), Log: logrus.NewEntry(log),
		Refuse: func(_ string, refusal outcome.NotRun) outcome.Outcome { return refusal },
		Run:    func(_ context.Context, r *request.Request) outcome.Outcome { ran = append(ran, r); return out },
		Addresses: func(service string, _ addressing.Caller, now time.Time) (addressing.Addresses, error) {
			if service != "s" {
				return addressing.Addresses{}, addressing.ErrNoService
			}
			return addressing.Addresses{Lifetime: time.Second, Now: now, List: []addressing.Address{{Address: "127.0.0.1:1"}}}, nil
		},
		Submit: func(_ context.Context, _ []byte, base uint64, _ string) submission.Result {
			if base == 3 {
				return submission.Accepted{Generation: 4}
			}
			return submission.BaseMismatch{Expected: base, Found: 3}
		},
		Unconfirmed: func(context.Context, uint64) []string { return []string{"e2"} },
		Status:      func() frontend.Status { return frontend.Status{Name: "e1"} },
	})
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return &ran
}

// exchange sends the text of a request on a new connection and returns the response with its body.
func exchange(t *testing.T, address, text string) (*http.Response, string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}

const idHeader = "Fulmarhitch-Request-Id: r1\r\n"

// TestBadCall guards against a malformed call that runs, gets no clear error, or crashes the process.
func TestBadCall(t *testing.T) {
	for name, c := range map[string]struct {
		line, headers, body string
		status              int
		detail              string
	}{
		"unknown service":                  {"GET /v1/call/x/get", idHeader, "", 400, "unknown service"},
		"unknown kind":                     {"GET /v1/call/s/x", idHeader, "", 400, "unknown kind"},
		"no kind":                          {"GET /v1/call/s", idHeader, "", 400, "unknown kind"},
		"no identifier":                    {"GET /v1/call/s/get", "", "", 400, header.RequestID},
		"malformed deadline":               {"GET /v1/call/s/get", idHeader + "Fulmarhitch-Deadline-Ms: soon\r\n", "", 400, header.Deadline},
		"deadline of 0":                    {"GET /v1/call/s/get", idHeader + "Fulmarhitch-Deadline-Ms: 0\r\n", "", 400, header.Deadline},
		"malformed depth":                  {"GET /v1/call/s/get", idHeader + "Fulmarhitch-Depth: -1\r\n", "", 400, header.Depth},
		"too deep":                         {"GET /v1/call/s/get", idHeader + "Fulmarhitch-Depth: 24\r\n", "", 422, header.Depth},
		"GET of a non-idempotent kind":     {"GET /v1/call/s/act", idHeader, "", 400, "must be POST"},
		"no key for a non-idempotent kind": {"POST /v1/call/s/act", idHeader, "", 400, header.Key},
		"body too large":                   {"POST /v1/call/s/get", idHeader, "123456789", 413, "at most 8 bytes"},
		"chunked and large":                {"POST /v1/call/s/get", idHeader + "Transfer-Encoding: chunked\r\n", "9\r\n123456789\r\n0\r\n\r\n", 413, "at most 8 bytes"},
		"body that ends early":             {"POST /v1/call/s/get", idHeader + "Content-Length: 5\r\nFulmarhitch-Deadline-Ms: 20\r\n", "123", 400, "ended early"},
		"header too large":                 {"GET /v1/call/s/get", idHeader + "X-Large: " + strings.Repeat("x", 64<<10) + "\r\n", "", 431, "431"},
	} {
		Convey(name, t, func() {
			address, ran := serve(t, outcome.Answered{Status: 200})
			text := c.line + " HTTP/1.1\r\nHost: x\r\n" + c.headers
			if !strings.Contains(c.headers, "Transfer-Encoding") && !strings.Contains(c.headers, "Content-Length") {
				text += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
			}
			res, body := exchange(t, address, text+"\r\n"+c.body)
			So(res.StatusCode, ShouldEqual, c.status)
			So(body, ShouldContainSubstring, c.detail)
			So(*ran, ShouldBeEmpty)
			if c.status != 431 {
				So(res.Header.Get(header.Outcome), ShouldEqual, "not-run")
			}
		})
	}
}

// TestOutcome guards against an outcome that reaches the caller as a different one.
func TestOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		out             outcome.Outcome
		status          int
		outcome, reason string
	}{
		"answered":    {outcome.Answered{Status: 207, Header: http.Header{"X-A": {"b"}}, Body: []byte("whole")}, 207, "answered", ""},
		"not run":     {outcome.NotRun{Reason: outcome.QueueFull}, 503, "not-run", "queue-full"},
		"key reused":  {outcome.NotRun{Reason: outcome.KeyReused}, 422, "not-run", "key-reused"},
		"unknown":     {outcome.Unknown{Reason: outcome.Timeout, Detail: "x"}, 502, "unknown", "timeout"},
		"upstream 5x": {outcome.Answered{Status: 503}, 503, "answered", ""},
	} {
		Convey(name, t, func() {
			address, ran := serve(t, c.out)
			res, body := exchange(t, address, "POST /v1/call/s/get/a/b?c=d HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"+idHeader+"Content-Length: 2\r\n\r\nhi")
			So(res.StatusCode, ShouldEqual, c.status)
			So(res.Header.Get(header.Outcome), ShouldEqual, c.outcome)
			So(res.Header.Get(header.Reason), ShouldEqual, c.reason)
			So(res.Header.Get(header.RequestID), ShouldEqual, "r1")
			So(res.ContentLength, ShouldEqual, len(body))
			r := (*ran)[0]
			So(r.Path, ShouldEqual, "a/b?c=d")
			So(string(r.Body), ShouldEqual, "hi")
			So(r.Header, ShouldNotContainKey, "Idempotency-Key")
			So(r.Depth, ShouldEqual, 1)
		})
	}
}

// TestOperators guards against responses that report the wrong result of an operator's request.
func TestOperators(t *testing.T) {
	for name, c := range map[string]struct {
		line   string
		status int
		body   string
	}{
		"accepted":        {"POST /v1/configuration?base=3&submission=a", 200, `"unconfirmed":["e2"]`},
		"base too old":    {"POST /v1/configuration?base=2&submission=a", 409, "generation 3 was accepted"},
		"no base":         {"POST /v1/configuration", 400, "base"},
		"wrong method":    {"PUT /v1/configuration", 405, "want POST"},
		"findings":        {"POST /v1/check", 422, `"place"`},
		"configuration":   {"GET /v1/configuration", 200, `"generation":3`},
		"status":          {"GET /v1/status", 200, `"name":"e1"`},
		"addresses":       {"GET /v1/addresses?service=s", 200, `"lifetime-ms":1000`},
		"unknown service": {"GET /v1/addresses?service=x", 404, "no such service"},
	} {
		Convey(name, t, func() {
			address, _ := serve(t, nil)
			res, body := exchange(t, address, c.line+" HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n????")
			So(res.StatusCode, ShouldEqual, c.status)
			So(body, ShouldContainSubstring, c.body)
		})
	}
}
