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
	// listInterval is the time between two reads of the VM list by a reader.
	listInterval = 2 * time.Second
	// housekeepingInterval is the time between two expiries of the ledger and updates of the gauges.
	housekeepingInterval = time.Second
)

// register adds the services to the kernel in the order of their start; they stop in reverse.
func (e *Entry) register(announced *ring.Ring[uint64]) {
	e.kernel.Register("groups", e.groups)
	e.kernel.Register("peer-server", e.peerEnd)
	e.kernel.Register("gossip", e.gossip)
	e.kernel.Register("vm-list", kernel.NewDuty(e.watchVMs))
	e.kernel.Register("reader", e.reader)
	e.kernel.Register("planner", planner.New(planner.Config{
		Self: e.self, Holder: e.holder, Gossip: e.gossip, Groups: e.groups, Metrics: e.metrics,
		Gone: e.peers.Forget, Apply: e.router.SetPlan, Suspect: e.suspects.Take, Announced: announced, Log: e.log,
	}))
	e.kernel.Register("prober", e.newProber())
	e.kernel.Register("housekeeping", kernel.NewDuty(e.keepHouse))
	e.kernel.Register("front", e.front)
}

// watchVMs reads the VM list once at the start and then for as long as this VM is a reader.
func (e *Entry) watchVMs(ctx context.Context) {
	for read := false; ; {
		if !read || e.isReader() {
			if err := e.readVMs(ctx); err == nil {
				read = true
			} else if ctx.Err() == nil {
				e.log.WithError(err).Warn("VM list not read")
			}
			e.ready.looked.Store(true)
		}
		// Jitter keeps the readers from calling the platform at the same moment.
		pause := time.Duration((0.75 + 0.5*rand.Float64()) * float64(listInterval))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// readVMs takes over one VM list: entry VMs become candidates, and upstreams on leaving VMs get no new work.
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
	e.gossip.List(listed)
	e.markLeaving(leaving)
	return nil
}

// markLeaving reports the upstreams whose VMs are leaving, by address.
func (e *Entry) markLeaving(leaving map[string]bool) {
	p := e.router.Plan()
	if p == nil {
		return
	}
	for _, g := range p.Groups() {
		for _, u := range g.Upstreams {
			if leaving[u.Address] {
				e.observed(g.Service.Name, u.Name, upstream.Draining, group.Exchange, time.Now())
			}
		}
	}
}

// keepHouse expires keys and sets the gauges.
func (e *Entry) keepHouse(ctx context.Context) {
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
			// Readiness is also checked without requests, so that status and logs show it.
			e.admit()
		}
	}
}
