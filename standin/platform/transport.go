package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// transport is a RoundTripper that calls a handler in the same process.
type transport struct {
	handler http.Handler
}

// Transport returns a transport that calls the platform without sockets, so that it works with the virtual time of
// testing/synctest.
func (p *Platform) Transport() http.RoundTripper {
	return transport{handler: p.Handler()}
}

// RoundTrip returns the handler's answer, or an error if the handler closed the connection.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	request := r.Clone(r.Context())
	if request.Body == nil {
		request.Body = http.NoBody
	}
	answers := make(chan *http.Response, 1)
	go func() { answers <- t.serve(request) }()
	select {
	case resp := <-answers:
		if resp == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serve returns nil if the handler closed the connection without an answer.
func (t transport) serve(r *http.Request) (resp *http.Response) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, r)
	return w.Result()
}
