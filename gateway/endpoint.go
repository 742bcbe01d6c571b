package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/head"
	"github.com/fulmarhitch/fulmarhitch/limit"
)

const (
	// endpointTimeout bounds the reading of a request's headers, that of its body, and the idle time of a connection.
	endpointTimeout = 10 * time.Second
	// maxEndpointHeaderBytes bounds the headers of a request.
	maxEndpointHeaderBytes = 16 << 10
	// maxReportBytes bounds the body of a call between VMs, which lists VMs. One takes about 250 bytes.
	maxReportBytes = 2 << 20
	// maxQueryBytes bounds the body of a request that needs none.
	maxQueryBytes = 4 << 10
)

// endpoint is a kernel service that runs an HTTP server on a listener of its own.
type endpoint struct {
	listener net.Listener
	http     *http.Server
	done     sync.WaitGroup
}

// newEndpoint returns an endpoint for requests with bodies of at most maxBody bytes. The listener may be a head.Listener.
func newEndpoint(l net.Listener, h http.Handler, maxBody int64) *endpoint {
	e := &endpoint{listener: l, http: &http.Server{
		Handler: limit.Handler(h, maxBody, endpointTimeout), ReadHeaderTimeout: endpointTimeout, IdleTimeout: endpointTimeout, MaxHeaderBytes: maxEndpointHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}}
	if heads, ok := l.(*head.Listener); ok {
		e.http.ConnState = heads.ConnState
	}
	return e
}

// Start starts the server.
func (e *endpoint) Start(context.Context) error {
	e.done.Go(func() { _ = e.http.Serve(e.listener) })
	return nil
}

// Stop closes the server at once; its handlers answer without delay, so there is nothing to drain.
func (e *endpoint) Stop(context.Context) error {
	err := e.http.Close()
	e.done.Wait()
	return err
}
