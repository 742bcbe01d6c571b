package ingress

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// maxHeaderBytes bounds the headers that are read; the limits in the rules bound what is accepted.
	maxHeaderBytes = 256 << 10
	// headerTimeout bounds the time that a caller takes to send the headers of a request.
	headerTimeout = 10 * time.Second
	// idleSlack is added to the rules' idle timeout, because callers reuse a connection until shortly before it.
	idleSlack = 2 * time.Second
	// sweepInterval is the time between two checks of the idle connections.
	sweepInterval = time.Second
	// maxBodyBytes bounds the body of a request for which the rules state no limit.
	maxBodyBytes = 64 << 20
)

// Server serves callers. It is a kernel service.
type Server struct {
	config   Config
	listener net.Listener
	http     *http.Server

	draining, refusing atomic.Bool
	// inProgress is the number of requests in progress.
	inProgress atomic.Int64
	// lastArrival is the time at which the latest request arrived, in ns since start.
	lastArrival atomic.Int64
	start       time.Time

	mu sync.Mutex
	// idle holds the idle connections with the time since which each is idle.
	idle map[net.Conn]time.Time
	stop chan struct{}
	done sync.WaitGroup
}

// New returns a server that accepts connections from the listener.
func New(listener net.Listener, c Config) *Server {
	s := &Server{
		config: c, listener: listener, start: time.Now(), idle: make(map[net.Conn]time.Time), stop: make(chan struct{}),
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ConnState: s.trackIdle, ErrorLog: log.New(errorLog{c.Log}, "", 0), DisableGeneralOptionsHandler: true,
	}
	return s
}

// Start begins to accept connections.
func (s *Server) Start(context.Context) error {
	s.done.Go(func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			s.config.Log.WithError(err).Error("HTTP server for callers failed")
		}
	})
	s.done.Go(s.sweep)
	return nil
}

// Drain makes each answer close its connection, so that callers connect elsewhere.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Refuse makes the server answer requests that arrive from now on with status 503, without forwarding them.
func (s *Server) Refuse() {
	s.refusing.Store(true)
}

// Running returns the number of requests in progress.
func (s *Server) Running() int {
	return int(s.inProgress.Load())
}

// SinceLastRequest returns the time since the latest request arrived.
func (s *Server) SinceLastRequest() time.Duration {
	return time.Since(s.start) - time.Duration(s.lastArrival.Load())
}

// Stop closes the listener, waits for the requests in progress until ctx is done, and closes the connections.
func (s *Server) Stop(ctx context.Context) error {
	close(s.stop)
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.CombineErrors(err, s.http.Close())
	}
	s.done.Wait()
	return err
}

// trackIdle records the times since which connections are idle.
func (s *Server) trackIdle(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// sweep periodically closes connections that have been idle for longer than the rules allow. The HTTP server's own timeout
// can't follow a change of the rules.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			if set := s.config.Rules(); set != nil && set.Limits.IdleTimeout > 0 {
				if n := s.closeIdle(now.Add(-set.Limits.IdleTimeout - idleSlack)); n > 0 {
					s.config.Metrics.ClosedIdle(n)
					s.config.Log.WithFields(logrus.Fields{"connections": n, "limit-ms": set.Limits.IdleTimeout.Milliseconds()}).Info("idle connections of callers closed")
				}
			}
		}
	}
}

// closeIdle closes the connections that became idle before the limit and returns their number.
func (s *Server) closeIdle(limit time.Time) (closed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if since.Before(limit) {
			_ = c.Close()
			delete(s.idle, c)
			closed++
		}
	}
	return closed
}

// errorLog writes the errors that the HTTP server reports, such as panics of the handler, to the log.
type errorLog struct {
	log *logrus.Entry
}

// Write writes one report.
func (e errorLog) Write(p []byte) (int, error) {
	e.log.WithField("error", strings.TrimSpace(string(p))).Warn("HTTP server for callers reports an error")
	return len(p), nil
}
