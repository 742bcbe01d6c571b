package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// endpointTimeout bounds the reading of a request's headers and the idle time of a connection.
const endpointTimeout = 10 * time.Second

// maxEndpointHeaderBytes bounds the headers of a request.
const maxEndpointHeaderBytes = 16 << 10

// endpoint is a kernel service that runs an HTTP server on a listener of its own.
type endpoint struct {
	listener net.Listener
	http     *http.Server
	done     sync.WaitGroup
}

func newEndpoint(l net.Listener, h http.Handler) *endpoint {
	return &endpoint{listener: l, http: &http.Server{
		Handler: h, ReadHeaderTimeout: endpointTimeout, IdleTimeout: endpointTimeout, MaxHeaderBytes: maxEndpointHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}}
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
