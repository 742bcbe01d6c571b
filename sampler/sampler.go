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
	// maxFreshAge is the age up to which a report counts as the present load.
	maxFreshAge = 25 * time.Millisecond
	// pollTimeout bounds a poll; an upstream that answers later is unlikely to answer a request in time.
	pollTimeout = 400 * time.Millisecond
	// burstSeconds is the burst of the poll limit, as the number of seconds of polls that may be sent at once. The limit
	// applies over a day; a peak of demand lasts some seconds and needs more polls than the time around it.
	burstSeconds = 20
)

// Poller sends a poll to an upstream.
type Poller interface {
	Poll(ctx context.Context, r *request.Request, up declaration.Upstream) exchange.Result
}

// Sampler polls upstreams and records their answers in the table of conditions. It is safe for concurrent use.
type Sampler struct {
	poller     Poller
	conditions *condition.Table

	mu sync.Mutex
	// perSecond is the limit of polls that this VM sends to each upstream per second.
	perSecond float64
	limiters  map[string]*rate.Limiter
	sent      uint64
}

// New returns a sampler that polls each upstream at most once until SetLimit is called.
func New(poller Poller, conditions *condition.Table) *Sampler {
	return &Sampler{poller: poller, conditions: conditions, limiters: make(map[string]*rate.Limiter)}
}

// SetLimit sets the number of polls that this VM may send to each upstream per second.
func (s *Sampler) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perSecond != perSecond {
		s.perSecond = perSecond
		clear(s.limiters)
	}
}

// Polls returns the number of polls sent.
func (s *Sampler) Polls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Poll polls the upstreams that have no fresh report and returns once all have answered or maxWait has passed. Later
// answers are still recorded.
func (s *Sampler) Poll(ups []roster.Upstream, path string, maxWait time.Duration) {
	answered := make(chan struct{}, len(ups))
	pending := 0
	now := time.Now()
	for _, u := range ups {
		c := s.conditions.Get(u.ID, now)
		if c.Unreachable || c.HasLoad && c.Age < maxFreshAge || !s.allow(u.ID) {
			continue
		}
		pending++
		go func() {
			s.poll(u, path)
			answered <- struct{}{}
		}()
	}
	if pending == 0 {
		return
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for range pending {
		select {
		case <-answered:
		case <-timer.C:
			return
		}
	}
}

// poll sends one poll and records the answer.
func (s *Sampler) poll(u roster.Upstream, path string) {
	r := &request.Request{
		Service: u.Service, Method: http.MethodGet, Path: path, Host: u.Address, Idempotent: true,
		Deadline: time.Now().Add(pollTimeout),
	}
	res := s.poller.Poll(context.Background(), r, declaration.Upstream{Name: u.ID, Address: u.Address})
	now := time.Now()
	switch out := res.Outcome.(type) {
	case outcome.Answered:
		if res.Upstream != "" && res.Upstream != u.ID {
			// Another upstream has taken over the address.
			s.conditions.RecordUnreachable(u.ID, now)
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
		s.conditions.RecordUnreachable(u.ID, now)
	case outcome.Unknown:
		s.conditions.RecordUnreachable(u.ID, now)
	}
}

// allow reports whether the upstream's limit permits another poll, and counts that poll.
func (s *Sampler) allow(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limiters[id]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(s.perSecond), max(int(s.perSecond*burstSeconds), 1))
		s.limiters[id] = l
	}
	if !l.Allow() {
		return false
	}
	s.sent++
	return true
}

// Retain deletes the limits of upstreams that are no longer known.
func (s *Sampler) Retain(isKnown func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.limiters {
		if !isKnown(id) {
			delete(s.limiters, id)
		}
	}
}
