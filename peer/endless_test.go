package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/flood"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/peerpb/peerpbconnect"
)

// closeTimeout is longer than a closed connection needs to reach the other side on a busy machine.
const closeTimeout = 10 * time.Second

// endlessServer serves HTTP/2 without TLS and returns its address.
func endlessServer(t *testing.T, h http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.Server(h)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// TestEndlessAnswers guards against a peer whose answer is read without a bound, in bytes or in time.
func TestEndlessAnswers(t *testing.T) {
	const timeout, maxRead, maxInterim = time.Second, 3 * peer.DefaultMaxMessage, 1 << 20
	header := func(w http.ResponseWriter) { w.Header().Set("Content-Type", "application/proto") }
	pour := func(w http.ResponseWriter, r *http.Request, sent *atomic.Int64) {
		part := make([]byte, 32<<10)
		for r.Context().Err() == nil {
			n, err := w.Write(part)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}
	// Headers of 8 MiB, which are more than any peer sends.
	large := func(w http.ResponseWriter, name string) {
		for range 64 {
			w.Header().Add(name, strings.Repeat("a", 128<<10))
		}
	}
	tests := map[string]func(w http.ResponseWriter, r *http.Request, sent *atomic.Int64){
		"body": func(w http.ResponseWriter, r *http.Request, sent *atomic.Int64) {
			header(w)
			pour(w, r, sent)
		},
		"body of an error": func(w http.ResponseWriter, r *http.Request, sent *atomic.Int64) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			pour(w, r, sent)
		},
		"body of another kind": pour,
		"drip": func(w http.ResponseWriter, r *http.Request, sent *atomic.Int64) {
			header(w)
			for r.Context().Err() == nil {
				n, _ := w.Write([]byte{0})
				sent.Add(int64(n))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
			}
		},
		"headers": func(w http.ResponseWriter, _ *http.Request, _ *atomic.Int64) {
			header(w)
			large(w, "A")
		},
		"trailers": func(w http.ResponseWriter, _ *http.Request, _ *atomic.Int64) {
			header(w)
			_, _ = w.Write(nil)
			_ = http.NewResponseController(w).Flush()
			large(w, http.TrailerPrefix+"A")
		},
		"informational answers": func(w http.ResponseWriter, r *http.Request, sent *atomic.Int64) {
			w.Header().Set("A", strings.Repeat("a", 1<<10))
			for r.Context().Err() == nil && sent.Load() < 2*maxRead {
				w.WriteHeader(http.StatusProcessing)
				sent.Add(1 << 10)
			}
		},
	}
	for name, serve := range tests {
		t.Run(name, func(t *testing.T) {
			var sent, running atomic.Int64
			address := endlessServer(t, func(w http.ResponseWriter, r *http.Request) {
				running.Add(1)
				defer running.Add(-1)
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					serve(w, r, &sent)
				}
			})
			c := newClient(t)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			start := time.Now()
			_, err := c.Run(ctx, address, sampleRequest())
			if err == nil || errors.Is(err, peer.ErrUnsent) {
				t.Errorf("error %v", err)
			}
			// An answer without a body that was read whole names no request.
			if strings.Contains(err.Error(), "answer names request") {
				t.Errorf("read to its end: %v", err)
			}
			if took := time.Since(start); took > timeout+closeTimeout {
				t.Errorf("read for %s", took)
			}
			limit := int64(maxRead)
			if name == "informational answers" {
				limit = maxInterim
			}
			if n := sent.Load(); n > limit {
				t.Errorf("%d MiB were read, want at most %d MiB", n>>20, limit>>20)
			}
			for end := time.Now().Add(closeTimeout); running.Load() > 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the call stays open")
				}
			}
		})
	}
}

// maxSent is the number of bytes after which an endlessBody breaks off.
const maxSent = 64 << 20

// endlessBody is a body of zeros that counts the bytes read from it.
type endlessBody struct {
	interval time.Duration
	read     *atomic.Int64
}

func (b endlessBody) Read(p []byte) (int, error) {
	if b.interval > 0 {
		time.Sleep(b.interval)
		p = p[:1]
	}
	if b.read.Load() > maxSent {
		return 0, io.ErrUnexpectedEOF
	}
	clear(p)
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// TestEndlessRequests guards against a peer whose request is read without a bound, in bytes or in time.
func TestEndlessRequests(t *testing.T) {
	const maxMessage, maxRead, maxTime, limit = 1 << 20, 8 << 20, 45 * time.Second, 5 * time.Minute
	for name, interval := range map[string]time.Duration{"flood": 0, "drip": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := flood.NewListener()
				mux := http.NewServeMux()
				peer.Mount(mux, peer.Hooks{Run: func(context.Context, *peerpb.RunRequest) (*peerpb.RunResponse, error) {
					t.Error("a request without an end was run")
					return nil, errors.New("endless")
				}}, maxMessage)
				s := peer.Server(mux)
				go func() { _ = s.Serve(l) }()
				var protocols http.Protocols
				protocols.SetUnencryptedHTTP2(true)
				client := http.Client{Transport: &http.Transport{
					Protocols:   &protocols,
					DialContext: func(context.Context, string, string) (net.Conn, error) { return l.Dial(), nil },
				}}
				var read atomic.Int64
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://peer"+peerpbconnect.PeerRunProcedure, endlessBody{interval, &read})
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Content-Type", "application/proto")
				start := time.Now()
				resp, err := client.Do(req)
				if took := time.Since(start); took > maxTime {
					t.Errorf("read for %s", took)
				}
				if err == nil {
					if resp.StatusCode == http.StatusOK {
						t.Error("reported as success")
					}
					_ = resp.Body.Close()
				}
				if n := read.Load(); n > maxRead {
					t.Errorf("%d MiB were read, want at most %d MiB", n>>20, maxRead>>20)
				}
				client.CloseIdleConnections()
				_ = s.Close()
			})
		})
	}
}
