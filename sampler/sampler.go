package sampler

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// freshAge is the age up to which a report stands for the present load.
	freshAge = 25 * time.Millisecond
	// answerTimeout bounds a question; an upstream that answers later is unlikely to answer a request in time.
	answerTimeout = 400 * time.Millisecond
	// burstSeconds is the number of seconds whose questions may be asked at once. The limit holds over a day; a swing of
	// demand lasts some seconds and needs more questions than the time around it.
	burstSeconds = 20
)

// Asker sends a question to an upstream.
type Asker interface {
	Ask(ctx context.Context, r *request.Request, up declaration.Upstream) exchange.Result
}

// Sampler asks upstreams and enters their answers in the table of conditions. It serves many goroutines.
type Sampler struct {
	asker      Asker
	conditions *condition.Table

	mu       sync.Mutex
	perVM    float64
	limiters map[string]*rate.Limiter
	asked    uint64
}

// New returns a sampler that asks nothing until Limit is called.
func New(asker Asker, conditions *condition.Table) *Sampler {
	return &Sampler{asker: asker, conditions: conditions, limiters: make(map[string]*rate.Limiter)}
}

// Limit sets the number of questions that each upstream may be asked per second by this VM.
func (s *Sampler) Limit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perVM != perSecond {
		s.perVM = perSecond
		clear(s.limiters)
	}
}

// Asked returns the number of questions asked.
func (s *Sampler) Asked() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Ask asks the upstreams that have no fresh report and returns once all have answered or the patience has passed. Later
// answers are still entered.
func (s *Sampler) Ask(ups []roster.Upstream, path string, patience time.Duration) {
	answered := make(chan struct{}, len(ups))
	waiting := 0
	now := time.Now()
	for _, u := range ups {
		c := s.conditions.Look(u.ID, now)
		if c.Barred || c.HasLoad && c.Age < freshAge || !s.allow(u.ID) {
			continue
		}
		waiting++
		go func() {
			s.ask(u, path)
			answered <- struct{}{}
		}()
	}
	if waiting == 0 {
		return
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for range waiting {
		select {
		case <-answered:
		case <-timer.C:
			return
		}
	}
}

// ask sends one question and enters the answer.
func (s *Sampler) ask(u roster.Upstream, path string) {
	r := &request.Request{
		Service: u.Service, Method: http.MethodGet, Path: path, Host: u.Address, Idempotent: true,
		Deadline: time.Now().Add(answerTimeout),
	}
	res := s.asker.Ask(context.Background(), r, declaration.Upstream{Name: u.ID, Address: u.Address})
	now := time.Now()
	switch out := res.Outcome.(type) {
	case outcome.Answered:
		if res.Upstream != "" && res.Upstream != u.ID {
			// Another upstream has taken over the address.
			s.conditions.Miss(u.ID, now)
			return
		}
		if res.HasLoad {
			s.conditions.Report(u.ID, res.Load, out.Status == http.StatusOK, now)
		}
	case outcome.NotRun:
		if res.HasLoad && res.Class == exchange.Refused {
			s.conditions.Report(u.ID, res.Load, false, now)
			return
		}
		s.conditions.Miss(u.ID, now)
	case outcome.Unknown:
		s.conditions.Miss(u.ID, now)
	}
}

// allow takes a question from the upstream's limit.
func (s *Sampler) allow(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limiters[id]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(s.perVM), max(int(s.perVM*burstSeconds), 1))
		s.limiters[id] = l
	}
	if !l.Allow() {
		return false
	}
	s.asked++
	return true
}

// Keep forgets the limits of upstreams that are not known any more.
func (s *Sampler) Keep(isKnown func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.limiters {
		if !isKnown(id) {
			delete(s.limiters, id)
		}
	}
}
