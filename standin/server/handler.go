package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/header"
)

// headerDigest carries the digest of the request's body.
const headerDigest = "Upstream-Body-Digest"

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// Digest returns the xxhash of a body in 16 hex digits, as the stand-in records and echoes it.
func Digest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

func (s *Server) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /health":
			s.health(w, r)
		case "GET /load":
			load, _ := s.reported()
			writeJSON(w, loadWire(load))
		case "GET /control/runs":
			writeJSON(w, s.runsByDigest())
		case "GET /control/counters":
			s.counters(w)
		case "PUT /control/faults":
			s.putFaults(w, r)
		case "POST /control/drain":
			s.Drain()
			w.WriteHeader(http.StatusNoContent)
		default:
			s.serve(w, r)
		}
	})
}

// health holds a slot for the probe cost before it reports the state; a health request is never shed.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	s.probes.Add(1)
	if !s.acquire(r.Context(), int(^uint(0)>>1)) {
		return
	}
	sleep(r.Context(), s.settings.ProbeCost)
	s.release()
	_, state := s.reported()
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	writeJSON(w, map[string]State{"state": state})
}

func (s *Server) runsByDigest() map[string]int {
	counts := make(map[string]int)
	for _, r := range s.Runs() {
		counts[r.Digest]++
	}
	return counts
}

func (s *Server) counters(w http.ResponseWriter) {
	c := s.Counters()
	writeJSON(w, map[string]int{
		"connections": c.Connections, "max-connections": c.MaxConnections, "total-connections": c.TotalConnections,
		"probes": c.Probes, "runs": c.Runs,
	})
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	if err == nil {
		var f Faults
		if f, err = ParseFaults(text); err == nil {
			s.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// serve handles one request of a caller with the faults injected at its arrival.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults, draining := s.faults, s.draining
	s.mu.Unlock()
	a := answer{id: r.Header.Get(header.RequestID), digest: Digest(body), faults: faults}
	ctx, cancel, expired := withDeadline(r)
	defer cancel()
	switch {
	case draining:
		s.refuse(w, a, "draining")
	case faults.FailFast:
		s.writeAnswer(w, a, http.StatusInternalServerError)
	case expired:
		s.refuse(w, a, "deadline")
	case faults.Shed || !s.acquire(ctx, s.settings.QueueLimit):
		if ctx.Err() != nil {
			s.refuse(w, a, "deadline")
			return
		}
		s.refuse(w, a, "shed")
	default:
		s.run(ctx, w, r, a, body)
	}
}

// run holds a slot acquired by the caller for the service time, releases it and then answers.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, a answer, body []byte) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	index, serviceTime := s.begin(Run{RequestID: a.id, Kind: kind, Digest: a.digest, At: time.Now()})
	if text := a.faults.CrashText; text != "" && strings.Contains(string(body), text) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	completed := sleep(ctx, serviceTime)
	s.release()
	if !completed {
		s.markCancelled(index)
		panic(http.ErrAbortHandler)
	}
	sleep(r.Context(), a.faults.AnswerDelay)
	s.writeAnswer(w, a, http.StatusOK)
}

// withDeadline returns the request's context with its deadline and reports whether the deadline has already expired. An
// unreadable deadline counts as expired.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, bool) {
	text := r.Header.Get(header.Deadline)
	if text == "" {
		return r.Context(), func() {}, false
	}
	remainingMs, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remainingMs <= 0 {
		return r.Context(), func() {}, true
	}
	ctx, cancel := context.WithTimeout(r.Context(), milliseconds(remainingMs))
	return ctx, cancel, false
}

// sleep waits for d or the end of ctx and reports whether d elapsed first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
