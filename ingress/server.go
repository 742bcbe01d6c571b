package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeaderBytes bounds the headers that are read; the rules bound what is accepted.
	maxHeaderBytes = 256 << 10
	// headerTimeout bounds the time in which a caller sends the headers of a request.
	headerTimeout = 10 * time.Second
	// idleSlack is added to the rules' idle timeout, because callers reuse a connection until shortly before it.
	idleSlack = 2 * time.Second
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
	// bufferedBytes bounds the bodies that are held at the same time.
	bufferedBytes = 64 << 20
)

// Server serves callers. It is a kernel service.
type Server struct {
	config   Config
	listener net.Listener
	http     *http.Server

	draining, closing atomic.Bool
	requests          atomic.Int64
	buffered          atomic.Int64
	// last is the time of the latest request, in ns since start.
	last  atomic.Int64
	start time.Time

	mu   sync.Mutex
	idle map[net.Conn]time.Time
	stop chan struct{}
	done sync.WaitGroup
}

// New returns a server for the listener.
func New(listener net.Listener, c Config) *Server {
	s := &Server{
		config: c, listener: listener, start: time.Now(), idle: make(map[net.Conn]time.Time), stop: make(chan struct{}),
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ConnState: s.track, ErrorLog: quiet(), DisableGeneralOptionsHandler: true,
	}
	return s
}

// Start begins to accept connections.
func (s *Server) Start(context.Context) error {
	s.done.Go(func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			s.config.Log.WithError(err).Error("listener for callers failed")
		}
	})
	s.done.Go(s.sweep)
	return nil
}

// Drain tells callers with each answer to connect elsewhere.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Refuse lets requests that arrive from now on be refused as not run.
func (s *Server) Refuse() {
	s.closing.Store(true)
}

// Running returns the number of requests in progress.
func (s *Server) Running() int {
	return int(s.requests.Load())
}

// Quiet returns the time since the latest request arrived.
func (s *Server) Quiet() time.Duration {
	return time.Since(s.start) - time.Duration(s.last.Load())
}

// Stop ends the listener, waits for the requests in progress until ctx is done, and closes the connections.
func (s *Server) Stop(ctx context.Context) error {
	close(s.stop)
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.CombineErrors(err, s.http.Close())
	}
	s.done.Wait()
	return err
}

// track keeps the times since which connections are idle.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// sweep closes connections that have been idle for longer than the rules allow. The HTTP server's own timeout can't
// follow a change of the rules.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			if set := s.config.Rules(); set != nil && set.Limits.IdleTimeout > 0 {
				s.closeIdle(now.Add(-set.Limits.IdleTimeout - idleSlack))
			}
		}
	}
}

// closeIdle closes the connections that have been idle since before the time.
func (s *Server) closeIdle(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, at := range s.idle {
		if at.Before(since) {
			_ = c.Close()
			delete(s.idle, c)
		}
	}
}
