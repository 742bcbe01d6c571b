package frontend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/addressing"
	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/keepalive"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/submission"
)

const (
	// maxHeaderBytes bounds the headers of one request in bytes.
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout bounds the time in which a caller must send the headers of one request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 90 * time.Second
	// maxFileBytes bounds the body with a configuration in bytes. It equals envelope.MaxText, the bound on the text in the
	// store; a smaller file that is above document.MaxSize gets a finding.
	maxFileBytes = 8 << 20
	// fileTimeout bounds the time in which such a body arrives.
	fileTimeout = 30 * time.Second
)

// Config holds the dependencies of a Server.
type Config struct {
	// Listener accepts the connections of callers and operators.
	Listener net.Listener
	// Bodies is the memory for the bodies of requests.
	Bodies *buffer.Budget
	// Run runs one request and returns its outcome.
	Run func(ctx context.Context, r *request.Request) outcome.Outcome
	// Refuse returns the outcome to report for a refused request with the given text of its key.
	Refuse func(key string, refusal outcome.NotRun) outcome.Outcome
	// Current returns the configuration in force, or nil if there is none yet.
	Current func() *generation.Current
	// Addresses returns the entry VMs that a caller should use for a service.
	Addresses func(service string, c addressing.Caller, now time.Time) (addressing.Addresses, error)
	// Submit submits a file as the next configuration.
	Submit func(ctx context.Context, text []byte, base uint64, id string) submission.Result
	// Unconfirmed waits until all live entry VMs have confirmed a generation or ctx is done, and returns the names of
	// those that have not.
	Unconfirmed func(ctx context.Context, generation uint64) []string
	// Status returns the status of the entry VM for operators.
	Status func() Status
	// Metrics serves the metrics.
	Metrics http.Handler
	// Log receives the errors of the server.
	Log *logrus.Entry
}

// Server serves callers and operators.
type Server struct {
	config    Config
	http      *khttp.Server
	running   atomic.Int64
	serveDone chan error
}

// New returns a server that has not started.
func New(c Config) *Server {
	s := &Server{config: c, serveDone: make(chan error, 1)}
	// The timeout is 0 because each request carries its own deadline.
	listener := keepalive.New(c.Listener)
	s.http = khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.NotFoundHandler(http.NotFoundHandler()),
		khttp.MethodNotAllowedHandler(http.NotFoundHandler()), khttp.Filter(s.interceptCalls))
	s.http.MaxHeaderBytes = maxHeaderBytes
	s.http.ReadHeaderTimeout = readHeaderTimeout
	s.http.IdleTimeout = idleTimeout
	s.http.ConnState = listener.ConnState
	s.http.HandleFunc("/v1/addresses", s.addresses)
	s.http.HandleFunc("/v1/configuration", s.configuration)
	s.http.HandleFunc("/v1/check", s.check)
	s.http.HandleFunc("/v1/status", s.status)
	s.http.Handle("/metrics", c.Metrics)
	return s
}

// Start starts to accept connections and returns.
func (s *Server) Start(ctx context.Context) error {
	go func() {
		err := s.http.Start(context.WithoutCancel(ctx))
		if err != nil {
			s.config.Log.WithError(err).Error("frontend: HTTP server failed")
		}
		s.serveDone <- err
	}()
	return nil
}

// Stop shuts the server down after the requests in progress, or returns an error if ctx is done first.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Stop(ctx); err != nil {
		return errors.Wrap(err, "frontend: requests in progress at shutdown")
	}
	return <-s.serveDone
}

// Running returns the number of calls in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}
