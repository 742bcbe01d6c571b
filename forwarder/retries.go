package forwarder

import (
	"sync"

	"github.com/fulmarhitch/fulmarhitch/budget"
)

// hedgeReserve is the share of the burst that hedges leave for requests whose first attempt failed.
const hedgeReserve = 0.5

// Retries holds a budget of retries and hedges for each service. It is safe for concurrent use.
type Retries struct {
	ratio float64

	mu    sync.Mutex
	burst float64
	all   map[string]*budget.Budget
}

// NewRetries returns budgets with the ratio of retries and hedges to requests; they allow none until SetBurst is called.
func NewRetries(ratio float64) *Retries {
	return &Retries{ratio: ratio, all: make(map[string]*budget.Budget)}
}

// SetBurst sets this VM's share of the retries and hedges that the fleet may save up for each service.
func (r *Retries) SetBurst(burst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burst = burst
	for _, b := range r.all {
		b.SetBurst(burst)
	}
}

// Earn counts a request for the service.
func (r *Retries) Earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(service).Earn()
}

// Spend takes a retry or hedge from the service's budget and reports whether the budget covers it. A hedge leaves a reserve
// for retries.
func (r *Retries) Spend(service string, hedge bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.get(service)
	// With a small burst, a hedge needs all of it.
	if hedge && b.Tokens() < min(1+hedgeReserve*r.burst, r.burst) {
		return false
	}
	return b.Spend()
}

func (r *Retries) get(service string) *budget.Budget {
	b := r.all[service]
	if b == nil {
		b = budget.New(r.ratio)
		b.SetBurst(r.burst)
		r.all[service] = b
	}
	return b
}
