package group

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

const (
	// idleAfter is the silence after which an upstream counts as idle and is probed by its home.
	idleAfter = time.Second
	// drainEnds is how long a draining upstream has to claim to be ready before it gets work again, unless it was
	// unreachable in between. Health endpoints lag, so an early claim proves nothing.
	drainEnds = time.Minute
)

// upstreamKey names an upstream of a service.
type upstreamKey struct {
	service, upstream string
}

// health is what this VM and its peers observed of one upstream.
type health struct {
	state upstream.State
	// since is when the state began.
	since time.Time
	// answered is when a request was last answered here.
	answered time.Time
	// down tells that the upstream was unreachable since it began to drain.
	down bool
}

// Source is who observed an upstream's state: Exchange, Probe or Peer.
type Source int

// Sources, in rising order of weight for the end of a drain.
const (
	// Exchange is the response to a caller's request.
	Exchange Source = iota
	// Probe is an answer of the health endpoint.
	Probe
	// Peer is an event of another entry VM, which weighed its own sources.
	Peer
)

// Observe takes an observation of an upstream's state. It returns true if the state that this VM holds of the
// upstream changed, so that peers have to be told.
func (r *Registry) Observe(service, name string, state upstream.State, source Source, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := upstreamKey{service, name}
	h := r.health[k]
	if h == nil {
		h = &health{state: upstream.Ready, since: now}
		r.health[k] = h
	}
	if !h.accepts(state, source, now) {
		return false
	}
	changed := h.state != state
	if changed {
		h.state, h.since, h.down = state, now, false
	}
	if changed || source == Probe {
		r.tell(k, state)
	}
	return changed
}

// accepts tells whether an observation replaces or confirms the state.
func (h *health) accepts(state upstream.State, source Source, now time.Time) bool {
	if state == upstream.Unstated {
		return false
	}
	if h.state != upstream.Draining || source == Peer || state == upstream.Draining {
		return true
	}
	if state == upstream.Failing {
		// An upstream that ends its drain disappears; it is still draining until it says otherwise.
		h.down = true
		return false
	}
	return source == Probe && (h.down || now.Sub(h.since) > drainEnds)
}

// tell passes the state to the dispatchers of the service; the caller holds the lock.
func (r *Registry) tell(k upstreamKey, state upstream.State) {
	for _, one := range r.runs {
		if one.service == k.service {
			one.dispatcher.Observe(k.upstream, state)
		}
	}
}

// Answered records that the upstream answered a request, so that it is not idle.
func (r *Registry) Answered(service, name string, now time.Time) {
	k := upstreamKey{service, name}
	r.mu.RLock()
	h := r.health[k]
	fresh := h != nil && now.Sub(h.answered) < idleAfter/2
	r.mu.RUnlock()
	if fresh {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h = r.health[k]; h == nil {
		h = &health{state: upstream.Ready, since: now}
		r.health[k] = h
	}
	h.answered = now
}

// ProbeWanted tells whether this VM should spend a probe on the upstream of the group: if it is home of the group and
// the upstream is idle, and at every VM if the upstream is known to be in another state than ready.
func (r *Registry) ProbeWanted(g *plan.Group, u declaration.Upstream, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h := r.health[upstreamKey{g.Service.Name, u.Name}]
	if h != nil && h.state != upstream.Ready {
		return true
	}
	return g.Home && (h == nil || now.Sub(h.answered) > idleAfter)
}

// forget drops what is known of upstreams that the plan does not name; the caller holds the lock.
func (r *Registry) forget(p *plan.Plan) {
	named := make(map[upstreamKey]struct{})
	for _, g := range p.Groups() {
		for _, u := range g.Upstreams {
			named[upstreamKey{g.Service.Name, u.Name}] = struct{}{}
		}
	}
	for k := range r.health {
		if _, ok := named[k]; !ok {
			delete(r.health, k)
		}
	}
}
