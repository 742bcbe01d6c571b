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
	"github.com/fulmarhitch/fulmarhitch/notice"
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
	notices    *notice.Table
	// limit returns the number of polls that this VM may send to the upstream per second.
	limit func(u roster.Upstream) float64

	mu       sync.Mutex
	limiters map[string]*limiter
	// inProgress holds the polls in progress by the identifiers of their upstreams; each channel is closed when its poll ends.
	inProgress map[string]chan struct{}
	sent       uint64
}

// limiter limits the polls of one upstream.
type limiter struct {
	*rate.Limiter
	upstream roster.Upstream
}

// New returns a sampler. The function limit returns the number of polls that this VM may send to the upstream per second.
func New(poller Poller, conditions *condition.Table, notices *notice.Table, limit func(u roster.Upstream) float64) *Sampler {
	return &Sampler{poller: poller, conditions: conditions, notices: notices, limit: limit, limiters: make(map[string]*limiter), inProgress: make(map[string]chan struct{})}
}

// burst returns the number of polls that may be sent at once under a limit per second.
func burst(perSecond float64) int {
	return max(int(perSecond*burstSeconds), 1)
}

// Polls returns the number of polls sent.
func (s *Sampler) Polls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Poll polls the upstreams that have no fresh report and returns once all have answered or maxWait has passed. Later
// answers are still recorded. Requests that arrive together share the polls of an upstream, each of which takes a connection.
func (s *Sampler) Poll(ups []roster.Upstream, path string, maxWait time.Duration) {
	var pending []chan struct{}
	now := time.Now()
	for _, u := range ups {
		c := s.conditions.Get(u.ID, now)
		if c.Unreachable || c.HasLoad && c.Age < maxFreshAge {
			continue
		}
		if done := s.begin(u, path); done != nil {
			pending = append(pending, done)
		}
	}
	if len(pending) == 0 {
		return
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for _, done := range pending {
		select {
		case <-done:
		case <-timer.C:
			return
		}
	}
}

// begin returns the channel that is closed when the poll of the upstream in progress ends. It starts one if there is none and the
// limit permits it, and returns nil otherwise.
func (s *Sampler) begin(u roster.Upstream, path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done := s.inProgress[u.ID]; done != nil {
		return done
	}
	if !s.allow(u) {
		return nil
	}
	done := make(chan struct{})
	s.inProgress[u.ID] = done
	go func() {
		s.poll(u, path)
		s.mu.Lock()
		delete(s.inProgress, u.ID)
		s.mu.Unlock()
		close(done)
	}()
	return done
}

// poll sends one poll and records the answer.
func (s *Sampler) poll(u roster.Upstream, path string) {
	asked := time.Now()
	r := request.NewPoll(u.Service, u.Address, path, asked.Add(pollTimeout))
	res := s.poller.Poll(context.Background(), r, declaration.Upstream{Name: u.ID, Address: u.Address})
	now := time.Now()
	switch out := res.Outcome.(type) {
	case outcome.Answered:
		if res.Upstream != "" && res.Upstream != u.ID {
			// Another upstream has taken over the address.
			s.conditions.RecordUnreachable(u.ID, now)
			return
		}
		s.notices.RecordHealth(u, res.Notice, asked, now)
		if res.HasLoad {
			s.conditions.Report(u.ID, res.Load, out.Status == http.StatusOK, now)
		}
	case outcome.NotRun:
		if res.Class == exchange.Refused {
			s.notices.Record(u, res.Notice, now)
		}
		if res.HasLoad && res.Class == exchange.Refused {
			s.conditions.Report(u.ID, res.Load, false, now)
			return
		}
		s.conditions.RecordUnreachable(u.ID, now)
	case outcome.Unknown:
		s.conditions.RecordUnreachable(u.ID, now)
	}
}

// allow reports whether the upstream's limit permits another poll, and counts that poll; the caller holds mu.
func (s *Sampler) allow(u roster.Upstream) bool {
	l := s.limiters[u.ID]
	if l == nil {
		perSecond := s.limit(u)
		l = &limiter{rate.NewLimiter(rate.Limit(perSecond), burst(perSecond)), u}
		s.limiters[u.ID] = l
	}
	if !l.Allow() {
		return false
	}
	s.sent++
	return true
}

// UpdateLimits applies changed limits; polls that have been saved up are kept.
func (s *Sampler) UpdateLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.limiters {
		perSecond := s.limit(l.upstream)
		if float64(l.Limit()) != perSecond {
			l.SetLimit(rate.Limit(perSecond))
			l.SetBurst(burst(perSecond))
		}
	}
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
