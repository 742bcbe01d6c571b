package group

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

const (
	// idleAfter is the time without an answer after which an upstream counts as idle and is probed by its home.
	idleAfter = time.Second
	// minDrain is the time from the start of a drain within which a probe that reports ready does not end the drain,
	// unless the upstream was unreachable in between. Health endpoints lag, so an early report of ready is not reliable.
	minDrain = time.Minute
)

// upstreamKey identifies an upstream of a service.
type upstreamKey struct {
	service, upstream string
}

// health is the state of one upstream as observed by this VM and its peers.
type health struct {
	state upstream.State
	// since is the time at which the state began.
	since time.Time
	// answered is the time of the last answer to a request from this VM.
	answered time.Time
	// wasUnreachable is set if the upstream has been unreachable since it began to drain.
	wasUnreachable bool
}

// Source is the origin of an observation of an upstream's state.
type Source int

// Sources, in rising order of their weight for ending a drain.
const (
	// Exchange is the response to a caller's request.
	Exchange Source = iota
	// Probe is a response of the health endpoint.
	Probe
	// Peer is an event from another entry VM, which has already applied these rules to its own observations.
	Peer
)

// Observe records an observation of an upstream's state. It reports whether the recorded state changed, so that the
// peers have to be notified.
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
		h.state, h.since, h.wasUnreachable = state, now, false
	}
	if changed || source == Probe {
		r.notify(k, state)
	}
	return changed
}

// accepts reports whether an observation replaces or confirms the state.
func (h *health) accepts(state upstream.State, source Source, now time.Time) bool {
	if state == upstream.NoState {
		return false
	}
	if h.state != upstream.Draining || source == Peer || state == upstream.Draining {
		return true
	}
	if state == upstream.Failing {
		// An upstream becomes unreachable when its drain ends; it counts as draining until it reports another state.
		h.wasUnreachable = true
		return false
	}
	return source == Probe && (h.wasUnreachable || now.Sub(h.since) > minDrain)
}

// notify passes the state to the dispatchers of the service. The caller must hold the lock.
func (r *Registry) notify(k upstreamKey, state upstream.State) {
	for _, gd := range r.dispatchers {
		if gd.service == k.service {
			gd.dispatcher.Observe(k.upstream, state)
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

// ProbeWanted reports whether this VM should probe the upstream of the group: the home of the group probes it if it is
// idle, and every VM probes it if its recorded state is not ready.
func (r *Registry) ProbeWanted(g *plan.Group, u declaration.Upstream, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h := r.health[upstreamKey{g.Service.Name, u.Name}]
	if h != nil && h.state != upstream.Ready {
		return true
	}
	return g.Home && (h == nil || now.Sub(h.answered) > idleAfter)
}

// prune removes the health of upstreams that are not in the plan. The caller must hold the lock.
func (r *Registry) prune(p *plan.Plan) {
	planned := make(map[upstreamKey]struct{})
	for _, g := range p.Groups() {
		for _, u := range g.Upstreams {
			planned[upstreamKey{g.Service.Name, u.Name}] = struct{}{}
		}
	}
	for k := range r.health {
		if _, ok := planned[k]; !ok {
			delete(r.health, k)
		}
	}
}
