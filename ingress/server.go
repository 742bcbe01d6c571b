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

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/head"
	"github.com/fulmarhitch/fulmarhitch/identity"
	"github.com/fulmarhitch/fulmarhitch/keepalive"
)

const (
	// maxHeaderBytes bounds the headers that are read, also if the rules state no limit.
	maxHeaderBytes = 256 << 10
	// headSlack is the number of bytes by which a head that is read may exceed the limit in the rules, which doesn't count all spaces. It
	// also covers what the HTTP server has read ahead of the head.
	headSlack = 8 << 10
	// headerTimeout bounds the time that a caller takes to send the headers of a request.
	headerTimeout = 10 * time.Second
	// sweepInterval is the time between two checks of the idle connections.
	sweepInterval = time.Second
	// closeInterval is the time between two checks of the open connections while the server stops.
	closeInterval = 10 * time.Millisecond
	// maxBodyBytes bounds the body of a request for which the rules state no limit.
	maxBodyBytes = 64 << 20
)

// Server serves callers. It is a kernel service.
type Server struct {
	config     Config
	listener   *keepalive.Listener
	heads      *head.Listener
	http       *http.Server
	identities identity.Checker
	// attemptHeaders are the headers that each attempt of a caller has of its own.
	attemptHeaders []string

	draining, refusing atomic.Bool
	// end is the time at which the process ends, in ns since start; it is valid while draining.
	end atomic.Int64
	// unready is the number of requests that wait for the first rules.
	unready atomic.Int64
	// inProgress is the number of requests in progress.
	inProgress atomic.Int64
	// lastArrival is the time at which the latest request arrived, in ns since start.
	lastArrival atomic.Int64
	start       time.Time

	stop chan struct{}
	done sync.WaitGroup
}

// New returns a server that accepts connections from the listener.
func New(listener net.Listener, c Config) *Server {
	s := &Server{
		config: c, listener: keepalive.New(listener), start: time.Now(), stop: make(chan struct{}),
		attemptHeaders: []string{http.CanonicalHeaderKey(c.Dialect.RequestID), http.CanonicalHeaderKey(c.Dialect.Deadline)},
		identities:     identity.Checker{Credentials: c.Dialect.Credentials, MaxRulesAge: c.MaxRulesAge, MaxConfirmedAge: c.MaxKeyAge},
	}
	s.heads = c.Heads.Listen(s.listener, c.Connections, s.maxHeadBytes)
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ConnState: s.noteState, ConnContext: s.connContext,
		ErrorLog: log.New(errorLog{c.Log}, "", 0), DisableGeneralOptionsHandler: true,
	}
	return s
}

// noteState notes whether a connection waits for a request, reads or serves one.
func (s *Server) noteState(c net.Conn, state http.ConnState) {
	s.heads.ConnState(c, state)
	s.listener.ConnState(head.Unwrap(c), state)
}

// connContext adds the connection to the context of its requests.
func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	return s.listener.ConnContext(ctx, head.Unwrap(c))
}

// maxHeadBytes returns the size in bytes from which on a head isn't read any further.
func (s *Server) maxHeadBytes() int64 {
	if set := s.config.Rules(); set != nil && set.Limits.HeaderBytes > 0 {
		return min(min(set.Limits.HeaderBytes, maxHeaderBytes)+headSlack, maxHeaderBytes)
	}
	return maxHeaderBytes
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	return s.heads.Len()
}

// Start begins to accept connections.
func (s *Server) Start(context.Context) error {
	s.done.Go(func() {
		if err := s.http.Serve(s.heads); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			s.config.Log.WithError(err).Error("HTTP server for callers failed")
		}
	})
	s.done.Go(s.sweep)
	return nil
}

// Drain makes each answer close its connection, so that callers connect elsewhere, and refuses the requests that may not be
// answered before the process ends.
func (s *Server) Drain(end time.Time) {
	s.end.Store(int64(end.Sub(s.start)))
	s.draining.Store(true)
}

// endsBefore reports whether the process ends before the deadline.
func (s *Server) endsBefore(deadline time.Time) bool {
	return s.draining.Load() && deadline.Sub(s.start) > time.Duration(s.end.Load())
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
//
// Shutdown of the HTTP server isn't used because it closes a connection from which a request has just been read.
func (s *Server) Stop(ctx context.Context) error {
	close(s.stop)
	if !s.draining.Load() {
		end, ok := ctx.Deadline()
		if !ok {
			end = time.Now().Add(maxTimeout)
		}
		s.Drain(end)
	}
	err := s.listener.Close()
	for s.listener.Len() > 0 && backoff.Sleep(ctx, closeInterval) {
		s.listener.CloseIdle(time.Now())
	}
	if s.listener.Len() > 0 {
		err = errors.CombineErrors(err, ctx.Err())
	}
	if closeErr := s.http.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.CombineErrors(err, closeErr)
	}
	s.done.Wait()
	return err
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
			if n := s.listener.CloseExpired(now); n > 0 {
				s.config.Metrics.ClosedIdle(n)
				s.config.Log.WithField("connections", n).Info("idle connections of callers closed")
			}
		}
	}
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
