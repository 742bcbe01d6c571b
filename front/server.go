package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/steer"
	"github.com/fulmarhitch/fulmarhitch/submission"
)

const (
	// maxHeaderBytes bounds the headers of one request.
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout bounds the time to send the headers of one request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes connections that callers no longer use.
	idleTimeout = 90 * time.Second
	// maxFileBytes bounds a submitted configuration, as the store's values are bounded.
	maxFileBytes = 8 << 20
)

// Config holds what a Server needs from the other services.
type Config struct {
	// Listener accepts the connections of callers and operators.
	Listener net.Listener
	// Run runs one request and returns its outcome.
	Run func(ctx context.Context, r *request.Request) outcome.Outcome
	// Refuse returns what the caller of a refused request with the text of its key may be told.
	Refuse func(key string, refusal outcome.NotRun) outcome.Outcome
	// Current returns the configuration in force, or nil if there is none yet.
	Current func() *generation.Current
	// Addresses answers which entry VMs a caller should use for a service.
	Addresses func(service string, c steer.Caller, now time.Time) (steer.Addresses, error)
	// Submit tries to bring a file into force.
	Submit func(ctx context.Context, text []byte, base uint64, id string) submission.Result
	// Unconfirmed waits until all live entry VMs have confirmed a generation or ctx is done, and returns those that have not.
	Unconfirmed func(ctx context.Context, generation uint64) []string
	// Status describes the entry VM for operators.
	Status func() Status
	// Metrics serves the metrics.
	Metrics http.Handler
	// Log receives server faults.
	Log *logrus.Entry
}

// Server serves callers and operators.
type Server struct {
	config  Config
	http    *khttp.Server
	running atomic.Int64
	failed  chan error
}

// New returns a server that has not started.
func New(c Config) *Server {
	s := &Server{config: c, failed: make(chan error, 1)}
	// The timeout is 0 because each request carries its own deadline.
	s.http = khttp.NewServer(khttp.Listener(c.Listener), khttp.Timeout(0), khttp.NotFoundHandler(http.NotFoundHandler()),
		khttp.MethodNotAllowedHandler(http.NotFoundHandler()), khttp.Filter(s.mountCalls))
	s.http.MaxHeaderBytes = maxHeaderBytes
	s.http.ReadHeaderTimeout = readHeaderTimeout
	s.http.IdleTimeout = idleTimeout
	s.http.HandleFunc("/v1/addresses", s.addresses)
	s.http.HandleFunc("/v1/configuration", s.configuration)
	s.http.HandleFunc("/v1/check", s.check)
	s.http.HandleFunc("/v1/status", s.status)
	s.http.Handle("/metrics", c.Metrics)
	return s
}

// Start begins to accept connections.
func (s *Server) Start(ctx context.Context) error {
	go func() {
		err := s.http.Start(context.WithoutCancel(ctx))
		if err != nil {
			s.config.Log.WithError(err).Error("front: the server ended")
		}
		s.failed <- err
	}()
	return nil
}

// Stop ends the server after the requests in progress, or with an error when ctx is done first.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Stop(ctx); err != nil {
		return errors.Wrap(err, "front: requests were still in progress")
	}
	return <-s.failed
}

// Running returns the number of calls in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}
