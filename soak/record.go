package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/fulmarhitch/fulmarhitch/platform/standin"
)

// record holds the answers that callers received. It is safe for concurrent use.
type record struct {
	mu          sync.Mutex
	attempts    []attempt
	wrongBodies []string
}

type attempt struct {
	id, method string
	status     int
}

// add records the attempts of one call.
func (r *record) add(method string, a standin.CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, status := range a.Statuses {
		r.attempts = append(r.attempts, attempt{a.IDs[i], method, status})
	}
	if a.Status == http.StatusOK && !a.MatchesRequest() {
		r.wrongBodies = append(r.wrongBodies, fmt.Sprintf("request %s was answered with the wrong body %q", a.IDs[len(a.IDs)-1], a.Body))
	}
}

// served returns the numbers of all attempts and of successful ones.
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

// notRun are the statuses that state that a request did not run and never will.
var notRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// violations returns the violated guarantees, given how often each request ran.
func (r *record) violations(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := slices.Clone(r.wrongBodies)
	for _, a := range r.attempts {
		n := runs[a.id]
		switch {
		case a.method == http.MethodPost && n > 1:
			found = append(found, fmt.Sprintf("non-idempotent request %s ran %d times", a.id, n))
		case a.method == http.MethodPost && n > 0 && slices.Contains(notRun, a.status):
			found = append(found, fmt.Sprintf("non-idempotent request %s was answered with status %d but ran", a.id, a.status))
		case a.status == http.StatusOK && n == 0:
			found = append(found, fmt.Sprintf("request %s was answered with success but never ran", a.id))
		case a.status == http.StatusNotFound || a.status == http.StatusBadRequest:
			found = append(found, fmt.Sprintf("valid request %s was answered with status %d", a.id, a.status))
		}
	}
	return found
}
