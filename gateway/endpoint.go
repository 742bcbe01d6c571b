package gateway

import (
	"bytes"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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

// newEndpoint returns an endpoint for requests with bodies of at most maxBody bytes.
func newEndpoint(l net.Listener, h http.Handler, maxBody int64) *endpoint {
	return &endpoint{listener: l, http: &http.Server{
		Handler: boundBody(h, maxBody), ReadHeaderTimeout: endpointTimeout, IdleTimeout: endpointTimeout, MaxHeaderBytes: maxEndpointHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
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

// boundBody returns a handler that reads the body of a request within its bounds before it calls h. Otherwise, a handler, or
// the HTTP server after it, would go on reading a body without an end.
func boundBody(h http.Handler, maxBody int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		err := control.SetReadDeadline(time.Now().Add(endpointTimeout))
		var body []byte
		if err == nil {
			body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		}
		if err == nil {
			err = control.SetReadDeadline(time.Time{})
		}
		if err != nil {
			// The deadline stays in force, because the HTTP server reads a part of the rest of the body.
			w.Header().Set("Connection", "close")
			http.Error(w, errors.Wrap(err, "body").Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}
