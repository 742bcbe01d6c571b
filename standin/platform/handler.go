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

// maxWait bounds the wait of a watch.
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

// begin counts a call of the store, applies outage and delay, and returns false if it answered the call.
func (p *Platform) begin(w http.ResponseWriter, r *http.Request, endpoint, key string, limit *rate.Limiter) bool {
	allowed := p.count(endpoint, key, limit)
	p.pass()
	_, f, _ := p.look(key)
	if f.Delay > 0 && !backoff.Sleep(r.Context(), f.Delay) {
		abort()
	}
	p.pass()
	if !allowed {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
	}
	return allowed
}

// pass closes the connection during an outage.
func (p *Platform) pass() {
	if _, f, _ := p.look(""); f.Outage {
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
		if p.begin(w, r, "get", key, p.reads) {
			e, _, _ := p.look(key)
			answerEntry(w, e)
		}
		return
	}
	if !p.begin(w, r, "watch", key, p.reads) {
		return
	}
	above, err := strconv.ParseUint(q.Get("watch-above"), 10, 64)
	wait, err2 := milliseconds(q.Get("wait-ms"))
	if err = errors.CombineErrors(err, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.watch(w, r, key, above, min(wait, maxWait))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string, above uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		e, f, changed := p.look(key)
		if f.Outage {
			abort()
		}
		if e.version != above {
			answerEntry(w, e)
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
	if !p.begin(w, r, "put", key, p.writes) {
		return
	}
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect is not a version", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
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
	_, f, _ := p.look(key)
	if f.DelayWrites > 0 {
		p.late.Go(func() {
			time.Sleep(f.DelayWrites)
			p.Put(key, expect, data)
		})
		abort()
	}
	version, swapped := p.Put(key, expect, data)
	switch {
	case !swapped:
		answer(w, http.StatusConflict, map[string]any{"version": version})
	case f.LoseAnswers:
		abort()
	default:
		answer(w, http.StatusOK, map[string]any{"version": version})
	}
}

func (p *Platform) lease(w http.ResponseWriter, r *http.Request) {
	if !p.begin(w, r, "lease", "", p.writes) {
		return
	}
	holder := r.URL.Query().Get("holder")
	ttl, err := milliseconds(r.URL.Query().Get("ttl-ms"))
	if err != nil || holder == "" || ttl <= 0 {
		http.Error(w, "holder or ttl-ms is missing", http.StatusBadRequest)
		return
	}
	holds, ok := p.acquire(r.PathValue("name"), holder, ttl)
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	answer(w, status, map[string]any{"holder": holds})
}

func (p *Platform) vms(w http.ResponseWriter, _ *http.Request) {
	p.count("vms", "", nil)
	if _, f, _ := p.look(""); f.VMListOutage {
		abort()
	}
	answer(w, http.StatusOK, listToWire(p.visible()))
}

func answerEntry(w http.ResponseWriter, e entry) {
	if e.version == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"value": e.data, "version": e.version})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}

func milliseconds(s string) (time.Duration, error) {
	n, err := strconv.ParseUint(s, 10, 31)
	return time.Duration(n) * time.Millisecond, errors.WithStack(err)
}
