package ingress_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/detour"
	exchanger "github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/ingress"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// passedForwarder returns the same outcome for each request and records whether the last one was passed on.
type passedForwarder struct {
	out    outcome.Outcome
	passed *bool
}

func (f passedForwarder) Serve(_ context.Context, j forwarder.Job) forwarder.Result {
	*f.passed = j.Passed
	return forwarder.Result{Outcome: f.out, Attempts: []forwarder.Attempt{
		{Upstream: roster.Upstream{ID: "u1"}, Class: "refused"}, {Upstream: roster.Upstream{ID: "u2", StartedMS: 5}, Class: "answered"},
	}}
}

// TestPassed guards against a passed request that is served by older rules or by a VM that it isn't meant for, and against a VM that is
// told to ask another one although the request may have run.
func TestPassed(t *testing.T) {
	answered := outcome.Answered{Status: 200, Header: http.Header{}}
	tests := map[string]struct {
		vm, version string
		out         outcome.Outcome
		draining    bool
		status      int
		isRefused   bool
		upstream    string
		told        string
	}{
		"a caller's own":             {out: answered, status: 200},
		"a caller's own, cut off":    {out: outcome.NotRun{Reason: outcome.CutOff}, status: 503},
		"passed on":                  {vm: "vm", version: "1", out: answered, status: 200, upstream: "5 u2"},
		"passed on, full":            {vm: "vm", version: "1", out: outcome.NotRun{Reason: outcome.QueueFull}, status: 503, upstream: "5 u2", told: "not-run queue-full"},
		"passed on, unknown":         {vm: "vm", version: "1", out: outcome.Unknown{Reason: outcome.ConnectionLost}, status: 502, upstream: "5 u2", told: "unknown connection-lost"},
		"passed on, cut off too":     {vm: "vm", version: "1", out: outcome.NotRun{Reason: outcome.CutOff}, status: 503, isRefused: true, upstream: "5 u2", told: "not-run cut-off"},
		"passed on, older rules":     {vm: "vm", version: "2", out: answered, status: 503, isRefused: true},
		"passed on, no version":      {vm: "vm", out: answered, status: 400},
		"passed on to another VM":    {vm: "other", version: "1", out: answered, status: 503, isRefused: true},
		"passed on to one that ends": {vm: "vm", version: "1", out: answered, draining: true, status: 503, isRefused: true},
	}
	for name, test := range tests {
		Convey("Given a request: "+name, t, func() {
			l, set, isPassed := listen(t), newRules(time.Second), false
			c := newConfig(passedForwarder{test.out, &isPassed}, func() *ruleset.Set { return set })
			c.VM = "vm"
			s := ingress.New(l, c)
			So(s.Start(t.Context()), ShouldBeNil)
			defer func() { _ = s.Stop(t.Context()) }()
			if test.draining {
				s.Drain(time.Now())
			}
			req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/x", nil)
			So(err, ShouldBeNil)
			req.Host = "h"
			req.Header.Set(c.Dialect.RequestID, "r")
			if test.vm != "" {
				req.Header.Set(header.Detour, test.vm)
				req.Header.Set(header.RulesVersion, test.version)
			}
			resp, err := http.DefaultClient.Do(req)
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, test.status)
			So(resp.Header.Get(header.Detour) != "", ShouldEqual, test.isRefused)
			So(resp.Header.Get(header.Upstream), ShouldEqual, test.upstream)
			So(strings.TrimSpace(resp.Header.Get(header.Outcome)+" "+resp.Header.Get(header.Reason)), ShouldEqual, test.told)
			So(isPassed, ShouldEqual, test.status < 500 && test.status != 400 && test.vm != "" || test.upstream != "")
		})
	}
}

// keepingForwarder keeps the last request.
type keepingForwarder struct {
	last **request.Request
}

func (f keepingForwarder) Serve(_ context.Context, j forwarder.Job) forwarder.Result {
	*f.last = j.Request
	return forwarder.Result{Outcome: outcome.Answered{Status: 200, Header: http.Header{}}}
}

// TestPassedFingerprints guards against a request that counts as another one after another VM has passed it on, and against a caller that
// states the address of another one.
func TestPassedFingerprints(t *testing.T) {
	Convey("Given a VM that passes a request on to another one", t, func() {
		set := newRules(time.Second)
		var first, second *request.Request
		c := newConfig(keepingForwarder{&first}, func() *ruleset.Set { return set })
		l := listen(t)
		s := ingress.New(l, c)
		So(s.Start(t.Context()), ShouldBeNil)
		defer func() { _ = s.Stop(t.Context()) }()
		other := newConfig(keepingForwarder{&second}, c.Rules)
		other.VM = "other"
		otherListener := listen(t)
		o := ingress.New(otherListener, other)
		So(o.Start(t.Context()), ShouldBeNil)
		defer func() { _ = o.Stop(t.Context()) }()

		req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/x", nil)
		So(err, ShouldBeNil)
		req.Host = "h"
		req.Header.Set(c.Dialect.RequestID, "r")
		req.Header.Set("Accept-Language", "sv")
		req.Header.Set(header.Caller, "10.0.0.9")
		resp, err := http.DefaultClient.Do(req)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		So(first.Caller, ShouldEqual, "127.0.0.1")

		d := detour.New(detour.Config{
			VM: "vm", VMs: func() []fleet.VM {
				return []fleet.VM{{Name: "other", Address: otherListener.Addr().String(), Serving: true}}
			},
			Bodies: c.Bodies, Log: c.Log,
			Dialect: exchanger.Dialect{
				RequestID: c.Dialect.RequestID, Deadline: c.Dialect.Deadline, Expect: "X-Upstream", Verbatim: true,
				EndToEnd: header.Transparent, Report: func(*http.Response, *exchanger.Result) {},
				Statement: func(*http.Response) exchanger.Statement { return exchanger.Run{} },
				IsAltered: func(*http.Response) bool { return false },
			},
		})
		defer d.Close()
		res := d.DoFor(t.Context(), t.Context(), first, set.Version, 1<<20)
		So(res.VM, ShouldEqual, "other")
		So(second, ShouldNotBeNil)
		So(second.Fingerprints(), ShouldResemble, first.Fingerprints())
		So(header.Transparent(second.Header), ShouldNotContainKey, header.Caller)
	})
}
