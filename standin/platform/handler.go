package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fulmarhitch/fulmarhitch/backoff"
)

// maxWait bounds the time for which a watch waits for a change.
const maxWait = time.Minute

// Handler returns the platform's endpoints and the control endpoints.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key}", p.get)
	mux.HandleFunc("PUT /kv/{key}", p.put)
	mux.HandleFunc("PUT /lease/{name}", p.lease)
	mux.HandleFunc("GET /vms", p.vms)
	mux.HandleFunc("PUT /control/faults", p.controlFaults)
	mux.HandleFunc("PUT /control/vms", p.controlVMs)
	mux.HandleFunc("GET /control/counts", p.controlCounts)
	return mux
}

// admit counts a call to the store, applies an outage and the delay, and reports whether the call is within the rate
// limit. It answers a call above the limit itself.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, endpoint, key string, limit *rate.Limiter) bool {
	allowed := p.count(endpoint, key, limit)
	p.abortInOutage()
	_, f, _ := p.lookup(key)
	if f.Delay > 0 && !backoff.Sleep(r.Context(), f.Delay) {
		abort()
	}
	p.abortInOutage()
	if !allowed {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
	}
	return allowed
}

// abortInOutage closes the connection without an answer during an outage.
func (p *Platform) abortInOutage() {
	if _, f, _ := p.lookup(""); f.Outage {
		abort()
	}
}

// abort closes the connection without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key, q := r.PathValue("key"), r.URL.Query()
	if !q.Has("watch-above") {
		if p.admit(w, r, "get", key, p.reads) {
			e, _, _ := p.lookup(key)
			writeEntry(w, e)
		}
		return
	}
	if !p.admit(w, r, "watch", key, p.reads) {
		return
	}
	above, err := strconv.ParseUint(q.Get("watch-above"), 10, 64)
	wait, waitErr := milliseconds(q.Get("wait-ms"))
	if err = errors.CombineErrors(err, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.watch(w, r, key, above, min(wait, maxWait))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string, above uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		e, f, changed := p.lookup(key)
		if f.Outage {
			abort()
		}
		// A version below above follows a rollback and is a change as well.
		if e.version != above {
			writeEntry(w, e)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			abort()
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if !p.admit(w, r, "put", key, p.writes) {
		return
	}
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect is not a version", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		abort()
	}
	p.write(w, key, expect, data)
}

func (p *Platform) write(w http.ResponseWriter, key string, expect uint64, data []byte) {
	_, f, _ := p.lookup(key)
	if f.DelayWrites > 0 {
		p.delayedWrites.Go(func() {
			time.Sleep(f.DelayWrites)
			p.Put(key, expect, data)
		})
		abort()
	}
	version, swapped := p.Put(key, expect, data)
	switch {
	case !swapped:
		writeJSON(w, http.StatusConflict, map[string]any{"version": version})
	case f.LoseAnswers:
		abort()
	default:
		writeJSON(w, http.StatusOK, map[string]any{"version": version})
	}
}

func (p *Platform) lease(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, "lease", "", p.writes) {
		return
	}
	holder := r.URL.Query().Get("holder")
	ttl, err := milliseconds(r.URL.Query().Get("ttl-ms"))
	if err != nil || holder == "" || ttl <= 0 {
		http.Error(w, "holder or ttl-ms is missing", http.StatusBadRequest)
		return
	}
	current, acquired := p.acquire(r.PathValue("name"), holder, ttl)
	status := http.StatusOK
	if !acquired {
		status = http.StatusConflict
	}
	writeJSON(w, status, map[string]any{"holder": current})
}

func (p *Platform) vms(w http.ResponseWriter, _ *http.Request) {
	p.count("vms", "", nil)
	if _, f, _ := p.lookup(""); f.VMListOutage {
		abort()
	}
	writeJSON(w, http.StatusOK, listToWire(p.visibleVMs()))
}

func writeEntry(w http.ResponseWriter, e entry) {
	if e.version == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"value": e.data, "version": e.version})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encode only fails if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func milliseconds(s string) (time.Duration, error) {
	n, err := strconv.ParseUint(s, 10, 31)
	return time.Duration(n) * time.Millisecond, errors.WithStack(err)
}
