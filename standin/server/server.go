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

// Server is a stand-in for one upstream instance. It is safe for concurrent use.
type Server struct {
	settings Settings
	listener *listener
	http     *http.Server
	served   chan struct{} // closed when http.Serve returns
	probes   atomic.Int64

	mu           sync.Mutex
	random       *rand.Rand
	faults       Faults
	draining     bool
	coldRequests int // requests that still run slower
	running      int
	waiting      []chan struct{} // one for each waiting request, oldest first; closed when it is granted a slot
	history      history
	runs         []Run
}

// Run is the record of one request that began to run.
type Run struct {
	// RequestID is the request's identifier and Kind the first segment of its path.
	RequestID, Kind string
	// Digest is the xxhash of the body in 16 hex digits.
	Digest string
	// At is the time at which the run began.
	At time.Time
	// Cancelled reports whether the run ended early because its deadline passed or the caller disconnected.
	Cancelled bool
}

// Counters are counts since the start of the stand-in.
type Counters struct {
	// Connections is the number of open connections, MaxConnections its maximum and TotalConnections the number of
	// accepted connections.
	Connections, MaxConnections, TotalConnections int
	// Probes is the number of requests to /health.
	Probes int
	// Runs is the number of requests that began to run.
	Runs int
}

// New starts a stand-in that serves until Close. It returns an error if it can't listen.
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
		settings: s, coldRequests: s.Cold, random: rand.New(rand.NewPCG(s.Seed, 0)), served: make(chan struct{}),
		listener: &listener{Listener: inner, readDelay: s.ConnectionCost},
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

// Drain makes the stand-in refuse new requests and finish those that run or wait.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.record()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.record()
}

// Runs returns the records of all runs in the order in which they began.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Counters returns the current counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	runs := len(s.runs)
	s.mu.Unlock()
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	return Counters{
		Connections: s.listener.open, MaxConnections: s.listener.maxOpen, TotalConnections: s.listener.total,
		Probes: int(s.probes.Load()), Runs: runs,
	}
}

// Load returns the actual load, unaffected by faults.
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
	case s.coldRequests > 0:
		return Cold
	default:
		return Ready
	}
}

// record appends the current load and state to the history; the caller holds mu, except in New.
func (s *Server) record() {
	s.history = s.history.add(snapshot{at: time.Now(), load: s.load(), state: s.state()})
}

// reported returns the load and state to report, with the lags and overrides of the faults applied.
func (s *Server) reported() (Load, State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	load := s.history.before(now, s.faults.LoadLag).load
	state := s.history.before(now, s.faults.HealthLag).state
	if s.faults.LoadOverride != nil {
		load = *s.faults.LoadOverride
	}
	if s.faults.HealthOverride != "" {
		state = s.faults.HealthOverride
	}
	return load, state
}

// acquire waits for a slot and reports whether it took one. It fails if ctx ends or if limit requests already wait.
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
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.record()
	s.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		s.abandon(granted)
		return false
	}
}

// abandon removes a waiting request, or releases its slot if it was granted one in the meantime.
func (s *Server) abandon(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.record()
			return
		}
	}
	s.releaseLocked()
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked passes the slot to the request that has waited longest, if any; the caller holds mu.
func (s *Server) releaseLocked() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	} else {
		s.running--
	}
	s.record()
}

// begin records a run and returns its index in runs and its service time.
func (s *Server) begin(r Run) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serviceTime := s.random.ExpFloat64() * float64(s.settings.Mean)
	if s.settings.Stragglers && s.random.Float64() < stragglerShare {
		serviceTime *= stragglerFactor
	}
	if s.faults.Slow > 1 {
		serviceTime *= s.faults.Slow
	}
	if s.coldRequests > 0 {
		s.coldRequests--
		serviceTime *= s.settings.ColdFactor
	}
	s.runs = append(s.runs, r)
	s.record()
	return len(s.runs) - 1, time.Duration(serviceTime)
}

func (s *Server) markCancelled(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[index].Cancelled = true
}

func (s *Server) crash() {
	if s.settings.Crash != nil {
		s.settings.Crash()
		return
	}
	// The listener closes first, so that a caller whose connection breaks can't open a new one.
	_ = s.listener.Close()
	_ = s.http.Close()
}
