package forwarder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/notice"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/quota"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

// statedUpstream is an upstream that answers requests with a notice from a time on, or refuses them with it.
type statedUpstream struct {
	notice  notice.Notice
	from    time.Time
	refuses bool
	// inHealth reports whether its health answers state the notice too.
	inHealth bool
	// before counts the requests that arrived before the notice first reached the VM, and after those that came later.
	known         bool
	before, after int
	// refusedAt is the time of the latest refusal, and unwanted counts the requests and polls between half a second after it
	// and the end of the pause that it stated.
	refusedAt time.Time
	unwanted  int
}

// arrive counts a request or poll.
func (u *statedUpstream) arrive() {
	since := time.Since(u.refusedAt)
	if !u.refusedAt.IsZero() && since >= pauseSlack && since < u.notice.RetryAfter {
		u.unwanted++
	}
}

// pauseSlack is the time after a refusal within which requests may still arrive.
const pauseSlack = 500 * time.Millisecond

// statedService is a service of one VM in virtual time.
type statedService struct {
	mu         sync.Mutex
	ups        map[string]*statedUpstream
	conditions *condition.Table
	notices    *notice.Table
}

// state returns what an answer states now.
func (u *statedUpstream) state(isHealth bool) notice.Notice {
	if time.Now().Before(u.from) || isHealth && !u.inHealth {
		return notice.Notice{}
	}
	return u.notice
}

// Poll reports idle upstreams without delay.
func (s *statedService) Poll(ups []roster.Upstream, _ string, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range ups {
		up := s.ups[u.ID]
		up.arrive()
		n := up.state(true)
		up.known = up.known || n != notice.Notice{}
		s.notices.Record(u, n, time.Now())
		s.conditions.Report(u.ID, exchange.Load{Slots: 3, Slowdown: 1}, true, time.Now())
	}
}

// DoFor answers or refuses a request after 20 ms.
func (s *statedService) DoFor(_, _ context.Context, _ *request.Request, up declaration.Upstream, _ int) exchange.Result {
	s.mu.Lock()
	u := s.ups[up.Name]
	u.arrive()
	if u.known {
		u.after++
	} else {
		u.before++
	}
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := u.state(false)
	u.known = u.known || n != notice.Notice{}
	if u.refuses && n != (notice.Notice{}) {
		u.refusedAt = time.Now()
		return exchange.Result{Class: exchange.Refused, Outcome: outcome.NotRun{Reason: outcome.Refused}, Notice: n}
	}
	return exchange.Result{Class: exchange.Answered, Outcome: outcome.Answered{Status: 200}, Notice: n}
}

// ended is a request that has ended.
type ended struct {
	arrived time.Time
	took    time.Duration
	outcome outcome.Outcome
}

// runStated sends a request to the service each 25 ms for the duration, and returns all requests.
func runStated(t *testing.T, s *statedService, duration time.Duration) (all []ended) {
	r := roster.New()
	for id := range s.ups {
		r.Put(roster.Upstream{ID: id, Address: id, Service: "s", FailureDomain: "near", Slots: 3, StartedMS: 1})
	}
	retries := forwarder.NewRetries(1)
	retries.SetBurst(10)
	f := forwarder.New(forwarder.Config{
		VM: "vm", FailureDomain: "near", Roster: r, Conditions: s.conditions, Notices: s.notices, Quotas: quota.New("vm", s.notices),
		Transport: s, Sampler: s, Retries: retries, Times: forwarder.NewTimes(), Pressure: forwarder.NewPressure(),
	})
	var mu sync.Mutex
	var requests sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(25 * time.Millisecond) {
		requests.Go(func() {
			arrived := time.Now()
			res := f.Serve(t.Context(), forwarder.Job{Rule: plain, Arrived: arrived, Request: &request.Request{
				ID: fmt.Sprint(arrived), Service: "s", Deadline: arrived.Add(time.Second), Idempotent: true,
			}})
			mu.Lock()
			defer mu.Unlock()
			all = append(all, ended{arrived, time.Since(arrived), res.Outcome})
		})
	}
	requests.Wait()
	time.Sleep(time.Second)
	return all
}

func newStatedService(ups map[string]*statedUpstream) *statedService {
	return &statedService{ups: ups, conditions: condition.New(), notices: notice.New(discardLogger())}
}

// TestLeavingUpstream guards against requests to an upstream that has stated in an answer that it leaves, while the store still
// lists it as ready. Requests in progress at that moment may still arrive.
func TestLeavingUpstream(t *testing.T) {
	for name, inHealth := range map[string]bool{"stated in all answers": true, "stated in answers to requests": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leaving := &statedUpstream{notice: notice.Notice{Leaving: true}, from: time.Now().Add(time.Second), inHealth: inHealth}
				s := newStatedService(map[string]*statedUpstream{"u0": leaving, "u1": {}})
				all := runStated(t, s, 4*time.Second)
				if leaving.before < 5 {
					t.Errorf("got %d requests before it left, want a share", leaving.before)
				}
				if leaving.after > 1 {
					t.Errorf("got %d requests after it stated that it leaves", leaving.after)
				}
				for _, e := range all {
					if _, ok := e.outcome.(outcome.Answered); !ok {
						t.Fatalf("outcome %+v", e.outcome)
					}
				}
			})
		})
	}
}

// TestPausedUpstream guards against requests and polls to an upstream that has refused a request and wants no more for a second,
// against an upstream that is never used again, and against requests that wait for upstreams that all want none.
func TestPausedUpstream(t *testing.T) {
	const pause = time.Second
	for name, others := range map[string]bool{"beside an upstream that answers": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				paused := &statedUpstream{notice: notice.Notice{RetryAfter: pause}, from: time.Now().Add(time.Second), refuses: true}
				ups := map[string]*statedUpstream{"u0": paused}
				if others {
					ups["u1"] = &statedUpstream{}
				}
				var refusals []ended
				for _, e := range runStated(t, newStatedService(ups), 6*time.Second) {
					refusal, refused := e.outcome.(outcome.NotRun)
					switch {
					case !refused:
					case others:
						t.Fatalf("outcome %+v", refusal)
					case refusal.Reason == outcome.Limited && (refusal.RetryAfter <= 0 || refusal.RetryAfter > pause):
						t.Errorf("time to return %v", refusal.RetryAfter)
					case refusal.Reason == outcome.Limited && e.took == 0:
						refusals = append(refusals, e)
					}
				}
				if paused.unwanted > 0 {
					t.Errorf("%d requests and polls came when it wanted none", paused.unwanted)
				}
				if !others && paused.after < 4 {
					t.Errorf("got %d requests after its first pause, want one after each", paused.after)
				}
				// Requests that arrive when a pause lasts longer than their target time are refused at once.
				if !others && len(refusals) < 80 {
					t.Errorf("%d requests were refused at once", len(refusals))
				}
			})
		})
	}
}

// TestNoShare guards against requests that wait at a VM without a share of any upstream, all of which have stated limits, until they
// are late.
func TestNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := func() *statedUpstream {
			return &statedUpstream{notice: notice.Notice{Limit: 2, HasLimit: true}, inHealth: true}
		}
		s := newStatedService(map[string]*statedUpstream{"u0": limited(), "u1": limited()})
		for i, e := range runStated(t, s, time.Second) {
			refusal, ok := e.outcome.(outcome.NotRun)
			// The first request learns of the limits by its own polls and selects once more.
			if !ok || refusal.Reason != outcome.Limited || i > 0 && e.took > 0 {
				t.Fatalf("outcome %+v after %v", e.outcome, e.took)
			}
			// The fleet may send four requests a second.
			if refusal.RetryAfter != 250*time.Millisecond {
				t.Errorf("time to return %v", refusal.RetryAfter)
			}
		}
	})
}
