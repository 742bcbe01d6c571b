package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fulmarhitch/fulmarhitch/group"
	"github.com/fulmarhitch/fulmarhitch/kernel"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/planner"
	"github.com/fulmarhitch/fulmarhitch/ring"
	"github.com/fulmarhitch/fulmarhitch/upstream"
	"github.com/fulmarhitch/fulmarhitch/vmlist"
)

const (
	// vmListInterval is the mean time between two reads of the VM list by a watcher.
	vmListInterval = 2 * time.Second
	// housekeepingInterval is the time between two rounds of key expiry and gauge updates.
	housekeepingInterval = time.Second
)

// register adds the services to the kernel in start order; they stop in reverse order.
func (e *Entry) register(announced *ring.Ring[uint64]) {
	e.kernel.Register("groups", e.groups)
	e.kernel.Register("peer-server", e.peerServer)
	e.kernel.Register("gossip", e.gossip)
	e.kernel.Register("vm-list", kernel.NewWorker(e.refreshVMs))
	e.kernel.Register("reader", e.syncer)
	e.kernel.Register("planner", planner.New(planner.Config{
		Self: e.self, Holder: e.holder, Gossip: e.gossip, Groups: e.groups, Metrics: e.metrics,
		PeerGone: e.peers.CloseConnections, Apply: e.router.SetPlan, Suspect: e.suspects.AddRemote, Announced: announced, Log: e.log,
	}))
	e.kernel.Register("prober", e.newProber())
	e.kernel.Register("housekeeping", kernel.NewWorker(e.runHousekeeping))
	e.kernel.Register("front", e.frontend)
}

// refreshVMs reads the VM list until a first read succeeds and then periodically while this VM is a watcher.
func (e *Entry) refreshVMs(ctx context.Context) {
	for read := false; ; {
		if !read || e.isWatcher() {
			if err := e.readVMs(ctx); err == nil {
				read = true
			} else if ctx.Err() == nil {
				e.log.WithError(err).Warn("failed to read the VM list")
			}
			e.readiness.vmListRequested.Store(true)
		}
		// Jitter keeps the watchers from calling the platform at the same time.
		pause := time.Duration((0.75 + 0.5*rand.Float64()) * float64(vmListInterval))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// readVMs reads the VM list and applies it: entry VMs are passed to gossip, and upstreams on leaving VMs get no new
// requests.
func (e *Entry) readVMs(ctx context.Context) error {
	vms, err := e.vms.List(ctx)
	if err != nil {
		return err
	}
	listed := e.seeds()
	leaving := make(map[string]bool)
	for _, vm := range vms {
		switch vm.Role {
		case vmlist.Entry:
			listed = append(listed, member.Listed{
				Name: vm.Name, Address: vm.Address, PeerAddress: vm.PeerAddress, FailureDomain: vm.FailureDomain,
				Leaving: vm.State == vmlist.Leaving,
			})
		case vmlist.Upstream:
			leaving[vm.Address] = vm.State == vmlist.Leaving
		}
	}
	e.gossip.ApplyList(listed)
	e.markLeaving(leaving)
	return nil
}

// markLeaving records as draining the upstreams whose addresses belong to leaving VMs.
func (e *Entry) markLeaving(leaving map[string]bool) {
	p := e.router.Plan()
	if p == nil {
		return
	}
	for _, g := range p.Groups() {
		for _, u := range g.Upstreams {
			if leaving[u.Address] {
				e.observe(g.Service.Name, u.Name, upstream.Draining, group.Exchange, time.Now())
			}
		}
	}
}

// runHousekeeping periodically expires request keys and sets the gauges.
func (e *Entry) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.ledger.Expire(now)
			e.metrics.SetLedgerKeys(e.ledger.Len())
			for id, load := range e.groups.Loads() {
				e.metrics.Group(id).Set(load[0], load[1])
			}
			// Readiness is checked even without requests, so that status and logs are up to date.
			e.admit()
		}
	}
}
