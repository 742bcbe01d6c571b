package gateway

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/relay"
	"github.com/fulmarhitch/fulmarhitch/topology"
)

const (
	// settleTime is the time after the start in which the list of VMs is incomplete. Until then only VMs that were relays
	// before, or that found no relay, register themselves.
	settleTime = 4 * time.Second
	// sizeChange is the relative change of the fleet's size above which the stored size is updated.
	sizeChange = 0.25
	// sizeInterval is the minimum time between two such updates.
	sizeInterval = 5 * time.Second
	// sizeTimeout bounds an update.
	sizeTimeout = 500 * time.Millisecond
	// remoteDelay is the time after the start in which a VM waits for a relay of its own failure domain.
	remoteDelay = 2500 * time.Millisecond
	// standbyDelay is the time that the standby of a starting fleet leaves the first relay to read the store.
	standbyDelay = 400 * time.Millisecond
)

// place returns this VM's place in the hierarchy of followers. If no VM is registered, as after an outage in which all
// leases expired, all known VMs count as relays.
func (g *Gateway) place() topology.Place {
	relays := g.fleet.Relays()
	if len(relays) == 0 {
		relays = g.fleet.List()
	}
	// The list of a fleet that starts is incomplete.
	size := g.fleet.StoredSize()
	if time.Since(g.start) > settleTime {
		size, _ = g.fleet.Size()
	}
	return topology.New(g.fleet.Self(), relays, size)
}

// sources returns the VMs to follow in place of the store.
func (g *Gateway) sources() mirror.Sources {
	p := g.place()
	s := mirror.Sources{Tier: p.Tier}
	if p.LacksRelay && time.Since(g.start) < remoteDelay && !g.isElected() {
		return s
	}
	for _, vm := range p.Sources {
		if vm.PeerAddress != "" {
			s.Peers = append(s.Peers, mirror.Peer{Name: vm.Name, Source: relay.NewPeer(g.peerClient, vm.PeerAddress)})
		}
	}
	return s
}

// discover looks for relays in the store.
func (g *Gateway) discover(ctx context.Context, isFresh bool) error {
	entries, err := g.config.Store.Discover(ctx, isFresh)
	if err != nil {
		return err
	}
	var relays []fleet.VM
	now := time.Now()
	for _, e := range entries {
		for _, c := range g.config.Decode(e, now) {
			switch c := c.(type) {
			case mirror.VMPut:
				relays = append(relays, c.VM)
			case mirror.SizePut:
				g.fleet.SetStoredSize(c.VMs)
			case mirror.Unreadable:
				g.log.WithError(c.Err).WithField("key", c.Key).Warn("cannot decode an entry of the store; not using it")
			case mirror.RulesPut, mirror.UpstreamPut, mirror.UpstreamRemoved, mirror.VMRemoved, mirror.DeathPut:
			}
		}
	}
	g.fleet.Replace(relays, now)
	return nil
}

// mayReadStore reports whether this VM may read the first entries from the store: in a small fleet, as the first relay or
// its standby, or if it found no relay in time.
func (g *Gateway) mayReadStore() bool {
	if topology.IsSmall(g.fleet.StoredSize()) || g.isElected() {
		return true
	}
	switch g.place().Tier {
	case topology.Watcher:
		return len(g.fleet.Relays()) > 0
	case topology.Standby:
		return time.Since(g.start) > standbyDelay
	default:
		return false
	}
}

// isElected reports whether this VM had the time to find a relay.
func (g *Gateway) isElected() bool {
	return time.Since(g.start) > g.electionDelay
}

// shouldRegister reports whether the VM registers itself in the store as a relay.
func (g *Gateway) shouldRegister() bool {
	switch {
	case g.leaving.Load():
		return false
	case g.fleet.IsRelay():
		return true
	case len(g.fleet.Relays()) == 0:
		return g.isElected() || topology.IsSmall(g.fleet.StoredSize())
	case time.Since(g.start) < settleTime:
		return g.isElected() && g.place().LacksRelay
	}
	// The watcher stores the size once it knows the fleet.
	size := g.fleet.StoredSize()
	if size == 0 {
		return false
	}
	list := g.fleet.List()
	return topology.ShouldRelay(g.fleet.Self(), list, topology.IsSmall(max(size, len(list))))
}

// updateList takes over the list that the VMs make of themselves.
func (g *Gateway) updateList(vms []fleet.VM) {
	g.fleet.SetPresent(vms)
	g.divideLimits()
}

// applyChange takes over a change of the mirrored entries.
func (g *Gateway) applyChange() {
	g.updateMembership(time.Now())
	g.divideLimits()
}

// updateMembership updates what this VM tells others about itself, and whether it leads the list of VMs.
func (g *Gateway) updateMembership(now time.Time) {
	ready := g.isReady()
	g.fleet.SetServing(ready)
	g.vms.SetServing(ready)
	g.vms.Lead(g.place().Tier == topology.Watcher, rand.Text(), now)
	g.vms.Expire(now)
}

// runSize keeps the stored size of the fleet up to date while this VM watches the store.
func (g *Gateway) runSize(ctx context.Context) {
	ticker := time.NewTicker(sizeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n, stored := len(g.fleet.List()), g.fleet.StoredSize()
		if g.place().Tier != topology.Watcher || float64(max(n-stored, stored-n)) <= sizeChange*float64(stored) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, sizeTimeout)
		err := g.config.Store.WriteSize(callCtx, n)
		cancel()
		entry := g.log.WithFields(logrus.Fields{"vms": n, "stored": stored})
		if err != nil {
			entry.WithError(err).Info("cannot update the stored size of the fleet")
			continue
		}
		entry.Info("stored size of the fleet updated")
	}
}
