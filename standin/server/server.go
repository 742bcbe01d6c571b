package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is a stand-in of one upstream instance.
type Server struct {
	settings Settings
	listener *listener
	http     *http.Server
	served   chan struct{}
	probes   atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	draining bool
	cold     int
	running  int
	waiting  []chan struct{}
	history  history
	runs     []Run
}

// Run is the record of one request that began to run.
type Run struct {
	// RequestID and Kind are those of the request.
	RequestID, Kind string
	// Digest is the xxhash of the body in 16 hex digits.
	Digest string
	// At is the time at which the run began.
	At time.Time
	// Cancelled tells that the caller closed the connection before the run ended.
	Cancelled bool
}

// Counters are the numbers that a stand-in counts from its start.
type Counters struct {
	// Connections is the number of open connections, MaxConnections their highest number and TotalConnections the
	// number ever accepted.
	Connections, MaxConnections, TotalConnections int
	// Probes is the number of requests of /health.
	Probes int
	// Runs is the number of requests that began to run.
	Runs int
}

// New returns a stand-in that listens and serves until Close; the error is that of the listener.
func New(s Settings) (*Server, error) {
	if s.Slots == 0 {
		s.Slots = 3
	}
	if s.ColdFactor == 0 {
		s.ColdFactor = 5
	}
	inner, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, errors.Wrap(err, "standin: listen")
	}
	v := &Server{
		settings: s, cold: s.Cold, random: rand.New(rand.NewPCG(s.Seed, 0)), served: make(chan struct{}),
		listener: &listener{Listener: inner, cost: s.ConnectionCost},
	}
	v.record()
	v.http = &http.Server{Handler: v.handler()}
	go func() {
		defer close(v.served)
		_ = v.http.Serve(v.listener)
	}()
	return v, nil
}

// Address returns the IP address and port that the stand-in listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close closes the listener and all connections at once and waits for the listener's goroutine.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.served
	return err
}

// Drain makes the stand-in refuse new requests; those that run or wait are finished.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.record()
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.record()
}

// Runs returns the records of all runs in the order of their beginnings.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Counters returns the numbers counted until now.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	runs := len(s.runs)
	s.mu.Unlock()
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	return Counters{
		Connections: s.listener.open, MaxConnections: s.listener.max, TotalConnections: s.listener.total,
		Probes: int(s.probes.Load()), Runs: runs,
	}
}

// Load returns the true load.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Server) load() Load {
	return Load{Running: s.running, Waiting: len(s.waiting), Slots: s.settings.Slots}
}

func (s *Server) state() State {
	switch {
	case s.draining:
		return Draining
	case s.faults.FailFast:
		return Failing
	case s.cold > 0:
		return Cold
	default:
		return Ready
	}
}

// record appends the present load and state to the history; the caller holds mu, except in New.
func (s *Server) record() {
	s.history = s.history.add(snapshot{at: time.Now(), load: s.load(), state: s.state()})
}

// reported returns the load and state that the faults let the outside see.
func (s *Server) reported() (Load, State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	load := s.history.before(now, s.faults.LoadLag).load
	state := s.history.before(now, s.faults.HealthLag).state
	if s.faults.LoadLie != nil {
		load = *s.faults.LoadLie
	}
	if s.faults.HealthLie != "" {
		state = s.faults.HealthLie
	}
	return load, state
}

// acquire takes a slot and returns true, or returns false if ctx ends or more than limit requests already wait.
func (s *Server) acquire(ctx context.Context, limit int) bool {
	s.mu.Lock()
	if s.running < s.settings.Slots {
		s.running++
		s.record()
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= limit {
		s.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.record()
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		s.abandon(turn)
		return false
	}
}

// abandon removes a waiting request, or gives back the slot that it was just given.
func (s *Server) abandon(turn chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.record()
			return
		}
	}
	s.free()
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free()
}

// free hands the slot to the longest waiting request, if there is one; the caller holds mu.
func (s *Server) free() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	} else {
		s.running--
	}
	s.record()
}

// begin records a run and returns its number and service time.
func (s *Server) begin(r Run) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.random.ExpFloat64() * float64(s.settings.Mean)
	if s.settings.Stragglers && s.random.Float64() < stragglerShare {
		service *= stragglerFactor
	}
	if s.faults.Slow > 1 {
		service *= s.faults.Slow
	}
	if s.cold > 0 {
		s.cold--
		service *= s.settings.ColdFactor
	}
	s.runs = append(s.runs, r)
	s.record()
	return len(s.runs) - 1, time.Duration(service)
}

func (s *Server) cancelled(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].Cancelled = true
}

func (s *Server) crash() {
	if s.settings.Crash != nil {
		s.settings.Crash()
		return
	}
	// The listener closes first, so that whoever sees a broken connection is also refused a new one.
	_ = s.listener.Close()
	_ = s.http.Close()
}
