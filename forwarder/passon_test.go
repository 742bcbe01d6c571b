package forwarder_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/detour"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/quota"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

// contactSwitch is a contact with upstreams that a test breaks.
type contactSwitch struct {
	mu     sync.Mutex
	isLost bool
	lost   chan struct{}
}

func (c *contactSwitch) IsLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isLost
}

func (c *contactSwitch) Lost() <-chan struct{} { return c.lost }

func (c *contactSwitch) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isLost = true
	close(c.lost)
}

// otherVMs answer passed requests after a time, or refuse them.
type otherVMs struct {
	refuse bool
	passed int
}

func (o *otherVMs) DoFor(context.Context, context.Context, *request.Request, uint64, int) detour.Result {
	o.passed++
	if o.refuse {
		return detour.Result{Result: exchange.Result{Class: exchange.Unsent, Outcome: outcome.NotRun{Reason: outcome.CutOff}}}
	}
	time.Sleep(50 * time.Millisecond)
	return detour.Result{Result: exchange.Result{Class: exchange.Answered, Outcome: outcome.Answered{Status: http.StatusOK}}, VM: "other"}
}

// TestPassOn guards against requests that fail because their VM reaches no upstream, and against those that may run twice because they
// are passed to another VM: a non-idempotent one after it was sent, or one that another VM has passed on. A request that was sent isn't
// told as not run because other VMs refuse it.
func TestPassOn(t *testing.T) {
	const before, during = -1, 100 * time.Millisecond
	tests := map[string]struct {
		// lostAt is the time of the loss after the request's arrival; the upstream answers after a second.
		lostAt         time.Duration
		isIdempotent   bool
		isPassed       bool
		refuse         bool
		hasNoBudget    bool
		passed, atHome int
		want           outcome.Outcome
	}{
		"contact":                             {lostAt: time.Hour, isIdempotent: true, atHome: 1, want: outcome.Unknown{}},
		"no contact":                          {lostAt: before, passed: 1, want: outcome.Answered{}},
		"no contact of any VM":                {lostAt: before, refuse: true, passed: 1, want: outcome.NotRun{Reason: outcome.CutOff}},
		"no contact, passed on":               {lostAt: before, isPassed: true, want: outcome.NotRun{Reason: outcome.CutOff}},
		"loss in progress, idempotent":        {lostAt: during, isIdempotent: true, passed: 1, atHome: 1, want: outcome.Answered{}},
		"loss in progress, no budget":         {lostAt: during, isIdempotent: true, hasNoBudget: true, atHome: 1, want: outcome.Unknown{}},
		"loss in progress, passed on":         {lostAt: during, isIdempotent: true, isPassed: true, atHome: 1, want: outcome.Unknown{}},
		"loss in progress, all VMs refuse":    {lostAt: during, isIdempotent: true, refuse: true, passed: 1, atHome: 1, want: outcome.Unknown{}},
		"loss in progress, may run only once": {lostAt: during, atHome: 1, want: outcome.Unknown{}},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			synctest.Test(t, func(t *testing.T) {
				s, r := newService(1, 1)
				c, others := &contactSwitch{lost: make(chan struct{})}, &otherVMs{refuse: test.refuse}
				if test.lostAt == before {
					c.lose()
				} else {
					timer := time.AfterFunc(test.lostAt, c.lose)
					defer timer.Stop()
				}
				retries := forwarder.NewRetries(0.2)
				if !test.hasNoBudget {
					retries.SetBurst(5)
				}
				for range 10 {
					retries.Earn("s")
				}
				rule := *urgent
				rule.Idempotent, rule.Attempts = test.isIdempotent, 1
				f := forwarder.New(forwarder.Config{
					FailureDomain: "near", Roster: r, Conditions: s.table, Notices: s.notices, Quotas: quota.New("vm", s.notices),
					Transport: s, Sampler: s, Retries: retries, Times: forwarder.NewTimes(), Pressure: forwarder.NewPressure(),
					Contact: c, Detour: others,
				})
				res := f.Serve(t.Context(), forwarder.Job{Rule: &rule, Arrived: time.Now(), Passed: test.isPassed, Request: &request.Request{
					ID: "r", Service: "s", Body: make([]byte, 1000), Deadline: time.Now().Add(900 * time.Millisecond), Idempotent: rule.Idempotent,
				}})
				time.Sleep(time.Second)
				synctest.Wait()
				if others.passed != test.passed || s.arrivals["r"] != test.atHome {
					t.Errorf("%s: passed on %d times and sent %d times, want %d and %d", name, others.passed, s.arrivals["r"], test.passed, test.atHome)
				}
				checkKind(t, name, res.Outcome, test.want)
			})
		})
	}
}

// checkKind fails the test if the outcomes are of different kinds or if want is a refusal for another reason.
func checkKind(t *testing.T, name string, got, want outcome.Outcome) {
	t.Helper()
	ok := false
	switch want := want.(type) {
	case outcome.Answered:
		_, ok = got.(outcome.Answered)
	case outcome.NotRun:
		notRun, isNotRun := got.(outcome.NotRun)
		ok = isNotRun && notRun.Reason == want.Reason
	case outcome.Unknown:
		_, ok = got.(outcome.Unknown)
	}
	if !ok {
		t.Errorf("%s: outcome %#v, want one like %#v", name, got, want)
	}
}

// leavingUpstream answers through another VM and states that it leaves.
type leavingUpstream struct{ upstream roster.Upstream }

func (l leavingUpstream) DoFor(context.Context, context.Context, *request.Request, uint64, int) detour.Result {
	res := detour.Result{Result: exchange.Result{Class: exchange.Answered, Outcome: outcome.Answered{Status: http.StatusOK}}, Upstream: l.upstream}
	res.Notice.Leaving = true
	return res
}

// TestPassedLeaving guards against requests that are sent to an upstream after this VM has passed on an answer in which it states
// that it leaves, although the answer came by way of another VM.
func TestPassedLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newService(2, 2)
		leaving := roster.Upstream{ID: "u00"}
		c := &contactSwitch{lost: make(chan struct{})}
		c.lose()
		retries := forwarder.NewRetries(0.2)
		f := forwarder.New(forwarder.Config{
			FailureDomain: "near", Roster: r, Conditions: s.table, Notices: s.notices, Quotas: quota.New("vm", s.notices), Transport: s,
			Sampler: s, Retries: retries, Times: forwarder.NewTimes(), Pressure: forwarder.NewPressure(), Contact: c, Detour: leavingUpstream{leaving},
		})
		serve := func(id string) forwarder.Result {
			return f.Serve(t.Context(), forwarder.Job{Rule: plain, Arrived: time.Now(), Request: &request.Request{
				ID: id, Service: "s", Deadline: time.Now().Add(time.Second), Idempotent: true,
			}})
		}
		serve("passed")
		c.mu.Lock()
		c.isLost, c.lost = false, make(chan struct{})
		c.mu.Unlock()
		for range 20 {
			for _, a := range serve("r").Attempts {
				if a.Upstream.ID == leaving.ID {
					t.Fatal("request was sent to an upstream that leaves")
				}
			}
		}
	})
}
