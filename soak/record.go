package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// record holds what callers were told. It serves many goroutines.
type record struct {
	mu       sync.Mutex
	attempts []attempt
	wrong    []string
}

type attempt struct {
	id, method string
	status     int
}

// add takes the attempts of one call.
func (r *record) add(method string, a standin.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, status := range a.Statuses {
		r.attempts = append(r.attempts, attempt{a.IDs[i], method, status})
	}
	if a.Status == http.StatusOK && !a.IsOwn() {
		r.wrong = append(r.wrong, fmt.Sprintf("request %s was answered with %q", a.IDs[len(a.IDs)-1], a.Body))
	}
}

func (r *record) served() (attempts, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		if a.status == http.StatusOK {
			served++
		}
	}
	return len(r.attempts), served
}

// notRun are the statuses that say that a request did not run and never will.
var notRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// broken lists the broken promises, given how often each request ran.
func (r *record) broken(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Clone(r.wrong)
	for _, a := range r.attempts {
		n := runs[a.id]
		switch {
		case a.method == http.MethodPost && n > 1:
			all = append(all, fmt.Sprintf("non-idempotent request %s ran %d times", a.id, n))
		case a.method == http.MethodPost && n > 0 && slices.Contains(notRun, a.status):
			all = append(all, fmt.Sprintf("non-idempotent request %s was answered %d and ran", a.id, a.status))
		case a.status == http.StatusOK && n == 0:
			all = append(all, fmt.Sprintf("request %s was answered with success and never ran", a.id))
		case a.status == http.StatusNotFound || a.status == http.StatusBadRequest:
			all = append(all, fmt.Sprintf("proper request %s was answered %d", a.id, a.status))
		}
	}
	return all
}
