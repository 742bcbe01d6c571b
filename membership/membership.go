package membership

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/kernel"
	"github.com/fulmarhitch/fulmarhitch/mirror"
	"github.com/fulmarhitch/fulmarhitch/presence"
	"github.com/fulmarhitch/fulmarhitch/registration"
	"github.com/fulmarhitch/fulmarhitch/topology"
)

const (
	// settleTime is the time after the start in which the list of VMs is incomplete. Until then only VMs that were relays
	// before, or that found no relay, register themselves.
	settleTime = 4 * time.Second
	// sizeChange is the relative change of the fleet's size above which the stored size is updated.
	sizeChange = 0.25
	// sizeInterval is the time between two checks of the size, and stableTime the time for which it must not have changed by
	// more than that before it is stored: the list of a fleet that starts grows for some seconds.
	sizeInterval = 2500 * time.Millisecond
	stableTime   = 2 * sizeInterval
	// sizeTimeout bounds an update.
	sizeTimeout = 500 * time.Millisecond
	// remoteDelay is the time after the start in which a VM waits for a relay of its own failure domain.
	remoteDelay = 2500 * time.Millisecond
	// readStep is the time that each relay of a starting fleet leaves the one before it in the order to read the store. The processes
	// of a fleet that lost power start within about 400 ms of each other, and all others wait for the first that reads.
	readStep = 120 * time.Millisecond
)

// Store holds the entries of the relays and the size of the fleet.
type Store interface {
	// Discover returns the entries that VMs wrote; they may be seconds old unless isFresh is set.
	Discover(ctx context.Context, isFresh bool) ([]mirror.Entry, error)
	// WriteSize stores the size of the fleet.
	WriteSize(ctx context.Context, vms int) error
}

// Config holds the dependencies of a membership.
type Config struct {
	Store Store
	// Decode decodes the store's entries.
	Decode func(e mirror.Entry, now time.Time) []mirror.Change
	// Fleet holds the known VMs, and Table the list that they make of themselves.
	Fleet *fleet.Fleet
	Table *presence.Table
	// IsReady reports whether this VM serves callers, and IsCutOff whether it reaches no upstream.
	IsReady, IsCutOff func() bool
	// IsLost reports whether the incarnation of the named VM didn't answer the last call of this VM.
	IsLost func(name, incarnation string) bool
	// StoreAge returns the time since the last contact with the store, also by way of other VMs.
	StoreAge func() time.Duration
	// Seeds are addresses of VMs for other VMs, which may be known without the store. They may have ended.
	Seeds []string
	// Follow returns the VM as a source of entries.
	Follow func(vm fleet.VM) mirror.Source
	Log    *logrus.Entry
}

// Membership is the kernel service that keeps the stored size of the fleet up to date while this VM watches the store. Its
// methods are safe for concurrent use.
type Membership struct {
	*kernel.Worker
	config Config
	start  time.Time
	// electionDelay is the time after the start from which on this VM may read all entries from the store and become a
	// relay.
	electionDelay time.Duration
	leaving       atomic.Bool
}

// New returns a membership of the fleet's own VM.
func New(c Config) *Membership {
	m := &Membership{
		config: c, start: time.Now(), electionDelay: topology.ElectionDelay(c.Fleet.Self().LinkRate, mathrand.Float64()),
	}
	m.Worker = kernel.NewWorker(m.runSize)
	return m
}

// Leave takes this VM out of the fleet permanently.
func (m *Membership) Leave() {
	m.leaving.Store(true)
	m.config.Fleet.Leave()
	m.config.Table.Leave()
}

// Relays returns the relays of the fleet. If no VM is registered, as after an outage in which all leases expired, all known VMs count
// as relays. The caller must not change the slice.
func (m *Membership) Relays() []fleet.VM {
	if relays := m.config.Fleet.Relays(); len(relays) > 0 {
		return relays
	}
	return m.config.Fleet.List()
}

// place returns this VM's place in the hierarchy of followers. Relays that didn't answer it last have none: their registrations last
// for seconds after their end and, while the store can't be reached, for longer.
func (m *Membership) place() topology.Place {
	relays := m.reachable(m.config.Fleet.Relays())
	if len(relays) == 0 {
		relays = m.reachable(m.config.Fleet.List())
	}
	// A VM may know few others of a large fleet, so that only the stored size shows that a fleet is not large.
	size := m.config.Fleet.StoredSize()
	if size > 0 {
		size = max(size, len(m.config.Fleet.List()))
	}
	return topology.New(m.config.Fleet.Self(), relays, size)
}

// reachable returns the VMs without those that are lost.
func (m *Membership) reachable(vms []fleet.VM) []fleet.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return m.config.IsLost(vm.Name, vm.Incarnation) })
}

// lost returns the relays that are lost.
func (m *Membership) lost() []fleet.VM {
	return slices.DeleteFunc(slices.Clone(m.Relays()), func(vm fleet.VM) bool { return !m.config.IsLost(vm.Name, vm.Incarnation) })
}

// Sources returns the VMs to follow in place of the store.
func (m *Membership) Sources() mirror.Sources {
	p := m.place()
	s := mirror.Sources{Tier: p.Tier, FleetSize: m.config.Fleet.StoredSize(), Seeds: m.seeds(), Lost: m.peers(m.lost())}
	if time.Since(m.start) > settleTime {
		s.FleetSize = m.config.Fleet.KnownSize()
	}
	if p.LacksRelay && time.Since(m.start) < remoteDelay && !m.isElected() {
		return s
	}
	s.Peers, s.Fallback = m.peers(p.Sources), m.peers(p.Fallback)
	return s
}

// seeds returns the seeds without this VM as peers.
func (m *Membership) seeds() []mirror.Peer {
	var vms []fleet.VM
	for _, address := range m.config.Seeds {
		if address != m.config.Fleet.Self().PeerAddress {
			vms = append(vms, fleet.VM{Name: address, Incarnation: address, PeerAddress: address})
		}
	}
	return m.peers(vms)
}

// peers returns the VMs as peers.
func (m *Membership) peers(vms []fleet.VM) []mirror.Peer {
	var list []mirror.Peer
	for _, vm := range vms {
		if vm.PeerAddress != "" {
			list = append(list, mirror.Peer{Name: vm.Name, Incarnation: vm.Incarnation, Source: m.config.Follow(vm)})
		}
	}
	return list
}

// Discover looks for relays in the store.
func (m *Membership) Discover(ctx context.Context, isFresh bool) error {
	entries, err := m.config.Store.Discover(ctx, isFresh)
	if err != nil {
		return err
	}
	var relays []fleet.VM
	now := time.Now()
	for _, e := range entries {
		for _, c := range m.config.Decode(e, now) {
			switch c := c.(type) {
			case mirror.VMPut:
				relays = append(relays, c.VM)
			case mirror.SizePut:
				m.config.Fleet.SetStoredSize(c.VMs)
			case mirror.Unreadable:
				m.config.Log.WithError(c.Err).WithField("key", c.Key).Warn("cannot decode an entry of the store; not using it")
			case mirror.RulesPut, mirror.UpstreamPut, mirror.UpstreamRemoved, mirror.VMRemoved, mirror.DeathPut:
			}
		}
	}
	m.config.Fleet.Replace(relays, now)
	return nil
}

// MayReadStore reports whether this VM may read the first entries from the store: in a small fleet, as a
// relay after those before it in the order, or if it found no relay in time.
func (m *Membership) MayReadStore() bool {
	if topology.IsSmall(m.config.Fleet.StoredSize()) || m.isElected() {
		return true
	}
	p, age := m.place(), time.Since(m.start)
	turn := time.Duration(p.Rank) * readStep
	switch p.Tier {
	case topology.Watcher:
		return len(m.config.Fleet.Relays()) > 0
	case topology.Standby:
		return age > turn
	case topology.Relay:
		// After its turn, a relay leaves it to the first two to call a store that doesn't answer.
		return age > turn && age <= turn+readStep
	default:
		return false
	}
}

// isElected reports whether this VM had the time to find a relay.
func (m *Membership) isElected() bool {
	return time.Since(m.start) > m.electionDelay
}

// ShouldRegister reports whether the VM registers itself in the store as a relay.
func (m *Membership) ShouldRegister() bool {
	f := m.config.Fleet
	relays, size := f.Relays(), f.StoredSize()
	isStarting := time.Since(m.start) < settleTime
	switch {
	case m.leaving.Load():
		return false
	case f.IsRelay() || topology.IsSmall(size):
		return true
	case isStarting && len(relays) > 0:
		return m.isElected() && m.place().LacksRelay
	case isStarting || size == 0:
		// The watcher stores the size once it knows the fleet.
		return m.isElected() && len(relays) == 0
	}
	list := f.List()
	return topology.ShouldRelay(f.Self(), list, topology.IsSmall(max(size, len(list))))
}

// Update updates what this VM tells others about itself, and whether it leads the list of VMs.
func (m *Membership) Update(now time.Time) {
	ready, cutOff := m.config.IsReady(), m.config.IsCutOff()
	m.config.Fleet.SetState(ready, cutOff)
	m.config.Table.SetState(ready, cutOff)
	m.config.Fleet.SetStale(m.config.StoreAge() > registration.LeaseTTL)
	m.config.Table.Lead(m.place().Tier == topology.Watcher, rand.Text(), now)
	m.config.Table.Expire(now)
}

// hasChanged reports whether the size of the fleet has changed by more than sizeChange.
func hasChanged(before, now int) bool {
	return float64(max(now-before, before-now)) > sizeChange*float64(before)
}

// runSize keeps the stored size of the fleet up to date while this VM watches the store.
func (m *Membership) runSize(ctx context.Context) {
	ticker := time.NewTicker(sizeInterval)
	defer ticker.Stop()
	seen, since := 0, time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n, stored := len(m.config.Fleet.List()), m.config.Fleet.StoredSize()
		if hasChanged(seen, n) {
			seen, since = n, time.Now()
		}
		// A VM that has found no relays yet seems to be alone.
		isWatcher := m.config.Fleet.IsListed() && m.place().Tier == topology.Watcher
		if !isWatcher || time.Since(since) < stableTime || !m.config.Fleet.IsSizeLost() && !hasChanged(stored, n) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, sizeTimeout)
		err := m.config.Store.WriteSize(callCtx, n)
		cancel()
		entry := m.config.Log.WithFields(logrus.Fields{"vms": n, "stored": stored})
		if err != nil {
			entry.WithError(err).Info("cannot update the stored size of the fleet")
			continue
		}
		entry.Info("stored size of the fleet updated")
	}
}
