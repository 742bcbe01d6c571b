package group

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/dispatch"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// retireDelay is the time for which the dispatcher of a group removed from the configuration keeps running; it is
// longer than the deadline of any request that it may still hold.
const retireDelay = 3 * time.Minute

// Registry is the kernel service that runs the dispatchers of groups. It is safe for concurrent use.
type Registry struct {
	seed uint64

	mu          sync.RWMutex
	dispatchers map[string]*groupDispatcher
	health      map[upstreamKey]*health
	ctx         context.Context
	cancel      context.CancelFunc
	workers     sync.WaitGroup
}

// groupDispatcher is the dispatcher of one group with its worker.
type groupDispatcher struct {
	dispatcher *dispatch.Dispatcher
	service    string
	cancel     context.CancelFunc
	// removed is the time at which the group was removed from the configuration, or zero.
	removed time.Time
}

// New returns a registry without dispatchers; seed seeds the random numbers of their decisions.
func New(seed uint64) *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	return &Registry{seed: seed, dispatchers: make(map[string]*groupDispatcher), health: make(map[upstreamKey]*health), ctx: ctx, cancel: cancel}
}

// Start does nothing; dispatchers start with the first plan.
func (r *Registry) Start(context.Context) error {
	return nil
}

// Stop stops all dispatchers. Requests that still wait are refused.
func (r *Registry) Stop(context.Context) error {
	r.cancel()
	r.workers.Wait()
	return nil
}

// Get returns the dispatcher of the group, and starts it if it is not running yet.
func (r *Registry) Get(g *plan.Group) *dispatch.Dispatcher {
	r.mu.RLock()
	gd := r.dispatchers[g.ID]
	r.mu.RUnlock()
	if gd != nil {
		return gd.dispatcher
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if gd = r.dispatchers[g.ID]; gd == nil {
		gd = r.start(g)
	}
	return gd.dispatcher
}

// Apply updates the dispatchers to a new plan: it starts those of groups whose home is this VM, updates the running
// ones and retires those whose group was removed.
func (r *Registry) Apply(p *plan.Plan, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range p.Groups() {
		gd := r.dispatchers[g.ID]
		switch {
		case gd != nil:
			gd.removed = time.Time{}
			gd.dispatcher.Update(*g.Service, g.Upstreams)
		case g.Home:
			r.start(g)
		}
	}
	for id, gd := range r.dispatchers {
		if p.Group(id) == nil {
			r.retire(id, gd, now)
		}
	}
	r.prune(p)
}

// start runs the dispatcher of a group. The caller must hold the lock.
func (r *Registry) start(g *plan.Group) *groupDispatcher {
	ctx, cancel := context.WithCancel(r.ctx)
	gd := &groupDispatcher{dispatcher: dispatch.New(g.ID, dispatch.Options{Seed: r.seed}), service: g.Service.Name, cancel: cancel}
	r.dispatchers[g.ID] = gd
	gd.dispatcher.Update(*g.Service, g.Upstreams)
	// The worker starts before the states are passed to the dispatcher, because there may be more of them than the
	// dispatcher's ring holds.
	r.workers.Go(func() { _ = gd.dispatcher.Run(ctx) })
	for _, u := range g.Upstreams {
		if h := r.health[upstreamKey{g.Service.Name, u.Name}]; h != nil && h.state != upstream.Ready {
			gd.dispatcher.Observe(u.Name, h.state)
		}
	}
	return gd
}

// retire removes the upstreams of a removed group's dispatcher and stops the dispatcher after retireDelay. The caller
// must hold the lock.
func (r *Registry) retire(id string, gd *groupDispatcher, now time.Time) {
	switch {
	case gd.removed.IsZero():
		gd.removed = now
		gd.dispatcher.Update(declaration.Service{QueueLength: 1}, nil)
	case now.Sub(gd.removed) > retireDelay:
		gd.cancel()
		delete(r.dispatchers, id)
	}
}

// Loads returns the free slots and the waiting requests of all dispatchers by group.
func (r *Registry) Loads() map[string][2]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	loads := make(map[string][2]int, len(r.dispatchers))
	for id, gd := range r.dispatchers {
		free, waiting := gd.dispatcher.Load()
		loads[id] = [2]int{free, waiting}
	}
	return loads
}
