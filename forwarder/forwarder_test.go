package forwarder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// service is a model of upstreams with slots and short queues in virtual time.
type service struct {
	mu  sync.Mutex
	ups map[string]*upstream
	// arrivals counts the sends of each request.
	arrivals map[string]int
	table    *condition.Table
	random   *rand.Rand
}

type upstream struct {
	slots, running, waiting int
	slowdown                float64
	shed                    float64
	lose                    bool
}

// queueLimit is the length of an upstream's own queue.
const queueLimit = 12

func newService(n, slots int) (*service, *roster.Roster) {
	s := &service{
		ups: make(map[string]*upstream), arrivals: make(map[string]int), table: condition.New(), random: rand.New(rand.NewPCG(1, 2)),
	}
	r := roster.New()
	for i := range n {
		id := fmt.Sprintf("u%02d", i)
		s.ups[id] = &upstream{slots: slots, slowdown: 1}
		r.Put(roster.Upstream{ID: id, Service: "s", FailureDomain: "near", Slots: slots})
	}
	return s, r
}

// Ask reports the loads at once.
func (s *service) Ask(ups []roster.Upstream, _ string, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range ups {
		s.table.Report(u.ID, s.ups[u.ID].load(), true, time.Now())
	}
}

func (u *upstream) load() exchange.Load {
	return exchange.Load{Running: u.running, Waiting: u.waiting, Slots: u.slots, Slowdown: u.slowdown}
}

// Do runs a request whose time in ms is its body.
func (s *service) Do(ctx context.Context, r *request.Request, up declaration.Upstream, _ int) exchange.Result {
	s.mu.Lock()
	s.arrivals[r.ID]++
	u := s.ups[up.Name]
	if s.random.Float64() < u.shed || u.running >= u.slots && u.waiting >= queueLimit {
		s.mu.Unlock()
		return exchange.Result{Class: exchange.Refused, Outcome: outcome.NotRun{Reason: outcome.Refused}}
	}
	u.waiting++
	for u.running >= u.slots {
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		if ctx.Err() != nil {
			u.waiting--
			s.mu.Unlock()
			return exchange.Result{Class: exchange.TimedOut, Outcome: outcome.Unknown{Reason: outcome.Timeout}}
		}
	}
	u.waiting--
	u.running++
	work := time.Duration(float64(time.Millisecond) * float64(len(r.Body)) * u.slowdown)
	lose := u.lose
	s.mu.Unlock()
	timer := time.NewTimer(work)
	defer timer.Stop()
	var res exchange.Result
	select {
	case <-timer.C:
		res = exchange.Result{Class: exchange.Answered, Outcome: outcome.Answered{Status: http.StatusOK}}
	case <-ctx.Done():
		res = exchange.Result{Class: exchange.TimedOut, Outcome: outcome.Unknown{Reason: outcome.Timeout}}
	}
	if lose {
		res = exchange.Result{Class: exchange.Lost, Outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
	}
	s.mu.Lock()
	u.running--
	s.mu.Unlock()
	return res
}

// urgent and plain are rules of one service; urgent requests are worth more for each ms of an upstream's time.
var (
	urgent = &ruleset.Rule{Name: "urgent", Target: 300 * time.Millisecond, Timeout: time.Second, Attempts: 2}
	plain  = &ruleset.Rule{Name: "plain", Idempotent: true, Priority: 2, Target: 400 * time.Millisecond, Timeout: time.Second, Attempts: 2}
)

// tally counts the ends of the requests of one rule.
type tally struct {
	asked, inTime, late, refused, failed int
	// held is the longest time after which a request was refused.
	held time.Duration
}

// play sends requests of both rules at the given rates a second for the span and returns what became of them.
func play(s *service, r *roster.Roster, span time.Duration, urgentRate, plainRate int) map[*ruleset.Rule]*tally {
	retries := forwarder.NewRetries(0.2)
	retries.SetBurst(5)
	f := forwarder.New(forwarder.Config{
		VM: "vm", FailureDomain: "near", Roster: r, Conditions: s.table, Upstreams: s, Sampler: s, Retries: retries,
		Times: forwarder.NewTimes(), Pressure: forwarder.NewPressure(),
	})
	tallies := map[*ruleset.Rule]*tally{urgent: {}, plain: {}}
	var mu sync.Mutex
	var all sync.WaitGroup
	send := func(rule *ruleset.Rule, n, work int) {
		all.Go(func() {
			began := time.Now()
			res := f.Serve(context.Background(), forwarder.Job{Rule: rule, Arrived: began, Request: &request.Request{
				ID: fmt.Sprint(rule.Name, n), Service: "s", Body: make([]byte, work), Deadline: began.Add(time.Second),
				Idempotent: rule.Idempotent,
			}})
			mu.Lock()
			defer mu.Unlock()
			tallies[rule].add(res.Outcome, time.Since(began), rule.Target)
		})
	}
	stream := func(rule *ruleset.Rule, rate, work int) {
		if rate == 0 {
			return
		}
		all.Go(func() {
			pause := time.Second / time.Duration(rate)
			for n := 0; time.Duration(n)*pause < span; n++ {
				send(rule, n, work)
				time.Sleep(pause)
			}
		})
	}
	stream(urgent, urgentRate, 76)
	stream(plain, plainRate, 110)
	all.Wait()
	return tallies
}

func (t *tally) add(out outcome.Outcome, took, target time.Duration) {
	t.asked++
	switch out.(type) {
	case outcome.Answered:
		if took <= target {
			t.inTime++
		} else {
			t.late++
		}
	case outcome.NotRun:
		t.refused++
		t.held = max(t.held, took)
	case outcome.Unknown:
		t.failed++
	}
}

// share returns the share of the requests that were answered in time.
func (t *tally) share() float64 { return float64(t.inTime) / float64(max(t.asked, 1)) }

// TestDisturbedHosts guards against requests that go to disturbed hosts while calm ones have room: a third of the
// upstreams is seven times slower than usual.
func TestDisturbedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newService(9, 6)
		for _, id := range []string{"u00", "u01", "u02"} {
			s.ups[id].slowdown = 7
		}
		got := play(s, r, 5*time.Second, 60, 150)
		for rule, tally := range got {
			if tally.share() < 0.99 {
				t.Errorf("%s: %+v", rule.Name, *tally)
			}
		}
	})
}

// TestCrest guards against requests that wait in upstreams' queues until nobody can be served in time: demand exceeds the
// capacity by a third for 4 s.
func TestCrest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newService(5, 6)
		// 30 slots serve 272 plain requests a second.
		got := play(s, r, 4*time.Second, 0, 363)[plain]
		if got.share() < 0.6 {
			t.Errorf("served in time: %.2f of at most 0.75; %+v", got.share(), *got)
		}
		if got.held > plain.Target {
			t.Errorf("a request was refused after %s", got.held)
		}
	})
}

// TestUrgentFirst guards against urgent requests that find no room among others of the same service in overload.
func TestUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newService(5, 6)
		// Urgent requests need 40 % of the capacity, the others all of it.
		got := play(s, r, 4*time.Second, 157, 272)
		if got[urgent].share() < 0.9 || got[urgent].share() < got[plain].share() {
			t.Errorf("urgent %+v, plain %+v", *got[urgent], *got[plain])
		}
	})
}

// TestShedding guards against a service that refuses half of its requests everywhere: second sends stay within the budget,
// and requests are refused at once and not held.
func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newService(9, 6)
		for _, u := range s.ups {
			u.shed = 0.55
		}
		got := play(s, r, 5*time.Second, 40, 100)
		again := 0
		for _, n := range s.arrivals {
			again += n - 1
		}
		asked := got[urgent].asked + got[plain].asked
		if most := 0.2*float64(asked) + 5; float64(again) > most {
			t.Errorf("%d second sends for %d requests, at most %.0f", again, asked, most)
		}
		if got[plain].held > 100*time.Millisecond || got[urgent].held > 100*time.Millisecond {
			t.Errorf("refused after %s and %s", got[plain].held, got[urgent].held)
		}
	})
}

// TestLostAnswers guards against non-idempotent requests that are sent again after their answer was lost.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newService(4, 6)
		for _, id := range []string{"u00", "u01"} {
			s.ups[id].lose = true
		}
		got := play(s, r, 5*time.Second, 40, 40)
		for id, n := range s.arrivals {
			if n > 1 && id[:len("urgent")] == "urgent" {
				t.Errorf("request %s was sent %d times", id, n)
			}
		}
		if got[plain].share() < 0.9 {
			t.Errorf("%+v", *got[plain])
		}
	})
}

// TestCallerLeaves guards against work that goes on for a caller who has left, and against non-idempotent work that is
// broken off.
func TestCallerLeaves(t *testing.T) {
	for rule, running := range map[*ruleset.Rule]int{plain: 0, urgent: 1} {
		synctest.Test(t, func(t *testing.T) {
			s, r := newService(1, 3)
			f := forwarder.New(forwarder.Config{
				FailureDomain: "near", Roster: r, Conditions: s.table, Upstreams: s, Sampler: s, Retries: forwarder.NewRetries(0),
				Times: forwarder.NewTimes(), Pressure: forwarder.NewPressure(),
			})
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			f.Serve(ctx, forwarder.Job{Rule: rule, Arrived: time.Now(), Request: &request.Request{
				ID: "r", Service: "s", Body: make([]byte, 200), Deadline: time.Now().Add(time.Second), Idempotent: rule.Idempotent,
			}})
			synctest.Wait()
			s.mu.Lock()
			if got := s.ups["u00"].running; got != running {
				t.Errorf("%s: %d requests run after the caller left", rule.Name, got)
			}
			s.mu.Unlock()
			time.Sleep(time.Second)
		})
	}
}
