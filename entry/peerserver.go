package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

// peerServer is the kernel service that serves the requests of other entry VMs.
type peerServer struct {
	listener  net.Listener
	http      *http.Server
	log       *logrus.Entry
	running   atomic.Int64
	serveDone chan error
}

func newPeerServer(l net.Listener, hooks peer.Hooks, log *logrus.Entry) *peerServer {
	s := &peerServer{listener: l, log: log, serveDone: make(chan error, 1)}
	run := hooks.Run
	hooks.Run = func(ctx context.Context, m *peerpb.RunRequest) (*peerpb.RunResponse, error) {
		s.running.Add(1)
		defer s.running.Add(-1)
		return run(ctx, m)
	}
	mux := http.NewServeMux()
	peer.Mount(mux, hooks, peer.DefaultMaxMessage)
	s.http = peer.Server(mux)
	return s
}

// Start starts to accept connections and returns.
func (s *peerServer) Start(context.Context) error {
	go func() {
		err := s.http.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("entry: peer server failed")
		}
		s.serveDone <- err
	}()
	return nil
}

// Stop shuts the server down after the requests in progress, or closes all connections if ctx is done first.
func (s *peerServer) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "entry: peer requests in progress at shutdown"), s.http.Close())
	}
	<-s.serveDone
	return nil
}

// Running returns the number of Run requests of peers in progress.
func (s *peerServer) Running() int64 {
	return s.running.Load()
}
