package server_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/standin/server"
)

type call struct {
	method, path, body, deadline string
}

func do(s *server.Server, c call) (*http.Response, string, error) {
	req, err := http.NewRequest(c.method, "http://"+s.Address()+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Fulmarhitch-Request-Id", "r1")
	if c.deadline != "" {
		req.Header.Set("Fulmarhitch-Deadline-Ms", c.deadline)
	}
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// TestProtocol guards against violations of the upstream protocol: a missing echo, a refused request that ran, or an
// injected fault without effect.
func TestProtocol(t *testing.T) {
	cases := map[string]struct {
		settings     server.Settings
		faults       string
		drain        bool
		call         call
		status       int
		header       map[string]string
		runs         int
		aborted      bool
		bodyContains string
	}{
		"answer": {call: call{"POST", "/k/p", "b", "1000"}, status: 200, runs: 1, bodyContains: server.Digest([]byte("b")),
			header: map[string]string{"Fulmarhitch-Request-Id": "r1", "Upstream-Load": "running=0 waiting=0 slots=3", "Upstream-State": "ready"}},
		"deadline passed": {call: call{"POST", "/k/p", "b", "0"}, status: 503, header: map[string]string{"Upstream-Refused": "deadline"}},
		"draining":        {drain: true, call: call{"POST", "/k/p", "b", ""}, status: 503, header: map[string]string{"Upstream-Refused": "draining", "Upstream-State": "draining"}},
		"shed":            {faults: `{"shed":true}`, call: call{"POST", "/k/p", "b", ""}, status: 503, header: map[string]string{"Upstream-Refused": "shed"}},
		"failing fast":    {faults: `{"fail-fast":true}`, call: call{"GET", "/k/p", "", ""}, status: 500, header: map[string]string{"Upstream-Refused": ""}},
		"failing health":  {faults: `{"fail-fast":true}`, call: call{"GET", "/health", "", ""}, status: 200, bodyContains: `"failing"`},
		"wrong health":    {faults: `{"health-lie":"ready"}`, drain: true, call: call{"GET", "/health", "", ""}, status: 200, bodyContains: `"ready"`},
		"wrong load":      {faults: `{"load-lie":{"running":9,"slots":9}}`, call: call{"GET", "/load", "", ""}, status: 200, bodyContains: `"running":9`},
		"delayed health":  {faults: `{"health-lag-ms":9000}`, drain: true, call: call{"GET", "/health", "", ""}, status: 200, bodyContains: `"ready"`},
		"cold":            {settings: server.Settings{Cold: 2}, call: call{"GET", "/k/p", "", ""}, status: 200, runs: 1, header: map[string]string{"Upstream-State": "cold"}},
		"wrong id":        {faults: `{"wrong-id":"r2"}`, call: call{"GET", "/k/p", "", ""}, status: 200, runs: 1, header: map[string]string{"Fulmarhitch-Request-Id": "r2"}},
		"chunked":         {faults: `{"chunked":true}`, call: call{"GET", "/k/p", "", ""}, status: 200, runs: 1, header: map[string]string{"Content-Length": ""}},
		"cut length":      {faults: `{"cut":"length"}`, call: call{"GET", "/k/p", "", ""}, runs: 1, aborted: true},
		"cut chunked":     {faults: `{"cut":"chunked"}`, call: call{"GET", "/k/p", "", ""}, runs: 1, aborted: true},
		"cut header":      {faults: `{"cut":"header"}`, call: call{"POST", "/k/p", "", ""}, runs: 1, aborted: true},
		"crash":           {faults: `{"crash-text":"boom"}`, call: call{"POST", "/k/p", "a boom", ""}, runs: 1, aborted: true},
		"bad faults":      {call: call{"PUT", "/control/faults", `{"cutt":1}`, ""}, status: 400},
		"runs":            {call: call{"GET", "/control/runs", "", ""}, status: 200, bodyContains: "{}"},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			c.settings.Address = "127.0.0.1:0"
			s, err := server.New(c.settings)
			So(err, ShouldBeNil)
			defer s.Close()
			if c.faults != "" {
				f, err := server.ParseFaults([]byte(c.faults))
				So(err, ShouldBeNil)
				s.SetFaults(f)
			}
			if c.drain {
				s.Drain()
			}
			resp, body, err := do(s, c.call)
			So(len(s.Runs()), ShouldEqual, c.runs)
			if c.aborted {
				So(err, ShouldNotBeNil)
				return
			}
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, c.status)
			So(body, ShouldContainSubstring, c.bodyContains)
			for k, v := range c.header {
				So(resp.Header.Get(k), ShouldEqual, v)
			}
		})
	}
}

// TestSlots guards against running more requests than slots, shedding requests that may wait, and keeping a slot after
// the deadline of its request.
func TestSlots(t *testing.T) {
	Convey("Given one slot, a queue of one and a running request", t, func() {
		s, err := server.New(server.Settings{Address: "127.0.0.1:0", Slots: 1, QueueLimit: 1, Mean: time.Hour, Seed: 1})
		So(err, ShouldBeNil)
		defer s.Close()
		done := make(chan int, 2)
		for started := range 2 {
			go func() {
				resp, _, err := do(s, call{"POST", "/k/p", "b", "2000"})
				if err == nil {
					done <- resp.StatusCode
				} else {
					done <- 0
				}
			}()
			for s.Load().Running+s.Load().Waiting != started+1 {
				time.Sleep(time.Millisecond)
			}
		}
		resp, _, err := do(s, call{"POST", "/k/p", "b", ""})
		So(err, ShouldBeNil)
		So(resp.Header.Get("Upstream-Refused"), ShouldEqual, "shed")
		So(resp.Header.Get("Upstream-Load"), ShouldEqual, "running=1 waiting=1 slots=1")
		<-done
		<-done
		So(s.Load(), ShouldResemble, server.Load{Slots: 1})
		So(s.Counters().MaxConnections, ShouldBeGreaterThanOrEqualTo, 2)
	})
}

// FuzzParseFaults guards against a panic and against accepting values out of range.
func FuzzParseFaults(f *testing.F) {
	f.Add([]byte(`{"slow":2,"cut":"length"}`))
	f.Add([]byte(`{"load-lie":{"running":-1}} x`))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := server.ParseFaults(text)
		if err == nil && (got.Slow < 0 || got.Pad < 0 || got.AnswerDelay < 0 || got.LoadLag < 0) {
			t.Fatalf("accepted %q as %+v", text, got)
		}
	})
}
