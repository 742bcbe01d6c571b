package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/kernel"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

const (
	// watchWait is the longest wait of one watch. A broken watch goes unnoticed for this time and the slack, which
	// together are below the 2 s in which a configuration has to be in force.
	watchWait = time.Second
	// minWait is the shortest wait of a watch after changes were gathered.
	minWait = 200 * time.Millisecond
	// watchSlack is the time that an answer may take beyond the wait before the call counts as failed.
	watchSlack = 400 * time.Millisecond
	// readTimeout bounds a read of all entries. A VM that was cut off has to see within 3 s which upstreams have left
	// meanwhile, so it must not wait for a connection that died in the cut.
	readTimeout = 900 * time.Millisecond
	// gather is the pause after a watch that returned changes, so that a series of changes costs few calls.
	gather = 200 * time.Millisecond
	// gatherAtStart is the same while the fleet starts and all its VMs and upstreams register themselves.
	gatherAtStart = 500 * time.Millisecond
	// startTime is the time for which a process counts as starting.
	startTime = 3 * time.Second
	// minPause and maxPause bound the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 250 * time.Millisecond
	// outageAfter is the time without a successful call after which the store counts as lost: entries may have lapsed.
	outageAfter = time.Second
	// maxAge is the age of a peer's knowledge above which the peer counts as failed.
	maxAge = watchWait + watchSlack
	// followerPause is the longest pause after a failed call of a VM that has peers to follow. Only the VMs that watch the
	// store look for its return often.
	followerPause = time.Second
	// checkAge is the age of the own knowledge above which the store is asked after a peer has failed.
	checkAge = 300 * time.Millisecond
	// peerPause is the time for which a peer that failed is not followed.
	peerPause = 2 * time.Second
)

// Config holds what a mirror works with.
type Config struct {
	// Store is the source that is always right, and Decode reads its entries.
	Store  Source
	Decode func(e Entry, now time.Time) []Change
	// Peers returns the VMs to follow in place of the store, the preferred one first; there are none if this VM watches
	// the store itself.
	Peers func() []Peer
	// Relay takes what is heard, for the VMs that follow this one.
	Relay  Relay
	Roster *roster.Roster
	Fleet  *fleet.Fleet
	// Died takes the deaths of upstreams that other VMs have seen.
	Died func(fingerprint, death uint64)
	// Changed is called after the view has changed.
	Changed func()
	Log     *logrus.Entry
}

// Relay passes on what this VM hears.
type Relay interface {
	// Take enters what a source told at the time heard.
	Take(b Batch, heard time.Time)
	// Lost says that nothing is heard any more.
	Lost()
}

// Peer is a VM that may be followed.
type Peer struct {
	// Name identifies the VM.
	Name string
	// Source is what it has heard.
	Source Source
}

// Mirror is the kernel service that follows the store.
type Mirror struct {
	*kernel.Duty
	config Config
	rules  atomic.Pointer[ruleset.Set]
	// heard is the time of the last successful call, in ns since the start.
	heard atomic.Int64
	start time.Time
	lost  bool
	// failedTo holds the times until which peers that failed are not followed.
	failedTo map[string]time.Time
}

// New returns a mirror that knows nothing.
func New(c Config) *Mirror {
	m := &Mirror{config: c, start: time.Now(), failedTo: make(map[string]time.Time)}
	m.Duty = kernel.NewDuty(m.follow)
	return m
}

// Rules returns the rules in force, or nil if none are known yet.
func (m *Mirror) Rules() *ruleset.Set {
	return m.rules.Load()
}

// Age returns the time since the store was last heard.
func (m *Mirror) Age() time.Duration {
	return time.Since(m.start) - time.Duration(m.heard.Load())
}

// follow reads all entries and then watches, until ctx is done.
func (m *Mirror) follow(ctx context.Context) {
	watcher, follower := backoff.New(minPause, maxPause), backoff.New(minPause, followerPause)
	revision, known := uint64(0), false
	// storeOnly tells that only the store itself can say what was missed.
	storeOnly := false
	for ctx.Err() == nil {
		peer, wait, isFollower := m.next(storeOnly)
		source := m.config.Store
		if peer != nil {
			source = peer.Source
		} else if known && wait > 0 {
			// The pause for gathering counts, so that what followers are told is never older than one wait.
			wait = max(wait-m.Age(), minWait)
		}
		b, err := m.hear(ctx, source, revision, known, wait)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			watcher.Reset()
			follower.Reset()
			revision, known, storeOnly = max(b.Revision, revision), true, false
			if len(b.Entries) > 0 {
				m.gather(ctx)
			}
		case peer != nil:
			m.failedTo[peer.Name] = time.Now().Add(peerPause)
			m.config.Log.WithError(err).WithField("peer", peer.Name).Info("peer failed")
		case errors.Is(err, ErrForgotten):
			// The store answers, so there is nothing to wait for.
			m.config.Log.WithField("revision", revision).Info("history of the store is gone, reading all entries")
			known, storeOnly = false, true
		default:
			m.failed(err)
			known = known && !m.lost
			if isFollower {
				follower.Wait(ctx)
			} else {
				watcher.Wait(ctx)
			}
		}
	}
}

// gather pauses after changes.
func (m *Mirror) gather(ctx context.Context) {
	if time.Since(m.start) < startTime {
		backoff.Sleep(ctx, gatherAtStart)
		return
	}
	backoff.Sleep(ctx, gather)
}

// next returns the peer to follow, or nil for the store, and how long to wait for changes. After a peer has failed, the
// store is asked once without a wait before the next peer is followed.
func (m *Mirror) next(storeOnly bool) (peer *Peer, wait time.Duration, isFollower bool) {
	peers, now := m.config.Peers(), time.Now()
	if storeOnly || len(peers) == 0 {
		return nil, watchWait, len(peers) > 0
	}
	alive := 0
	for i, p := range peers {
		if to, failed := m.failedTo[p.Name]; !failed || now.After(to) {
			delete(m.failedTo, p.Name)
			alive++
			if peer == nil {
				peer = &peers[i]
			}
		}
	}
	switch {
	case peer == nil:
		return nil, watchWait, true
	case alive < len(peers) && m.Age() > checkAge && !m.lost:
		return nil, 0, true
	default:
		return peer, watchWait, true
	}
}

// hear reads all entries or waits for changes, and takes them over.
func (m *Mirror) hear(ctx context.Context, source Source, revision uint64, known bool, wait time.Duration) (Batch, error) {
	timeout := readTimeout
	if known && wait > 0 {
		timeout = wait + watchSlack
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	var b Batch
	var err error
	if known {
		b, err = source.Watch(call, revision, wait)
	} else {
		b, err = source.Snapshot(call)
	}
	if err == nil && b.Age > maxAge {
		err = errors.Newf("what the peer knows is %d ms old", b.Age.Milliseconds())
	}
	if err != nil {
		return Batch{}, err
	}
	now := time.Now()
	heard := now.Add(-b.Age)
	if !known {
		heard = began.Add(-b.Age)
	}
	m.succeeded(heard)
	m.config.Relay.Take(b, heard)
	m.take(b, now)
	return b, nil
}

// take takes over what a source told.
func (m *Mirror) take(b Batch, now time.Time) {
	var changes []Change
	for _, e := range b.Entries {
		changes = append(changes, m.config.Decode(e, now)...)
	}
	switch {
	case b.Whole:
		m.replace(changes, now)
	case len(changes) > 0:
		m.apply(changes, now)
	}
}

// failed notes a failed call.
func (m *Mirror) failed(err error) {
	m.config.Relay.Lost()
	if m.lost || m.Age() < outageAfter {
		return
	}
	m.lost = true
	m.config.Log.WithError(err).WithField("heard-ms-ago", m.Age().Milliseconds()).Warn("store is lost")
}

// succeeded notes a successful call. After an outage, entries that lapsed meanwhile have a time to return.
func (m *Mirror) succeeded(now time.Time) {
	if m.lost {
		m.config.Log.WithField("lost-ms", m.Age().Milliseconds()).Info("store is back")
		m.lost = false
		m.config.Roster.Regained(now)
		m.config.Fleet.Regained(now)
	}
	m.heard.Store(int64(now.Sub(m.start)))
}

// replace takes over a whole list of entries.
func (m *Mirror) replace(changes []Change, now time.Time) {
	var ups []roster.Upstream
	var vms []fleet.VM
	for _, c := range changes {
		switch c := c.(type) {
		case UpstreamPut:
			ups = append(ups, c.Upstream)
		case VMPut:
			vms = append(vms, c.VM)
		case RulesPut:
			m.install(c.Set)
		case DeathPut:
			m.config.Died(c.Fingerprint, c.Death)
		case Unreadable:
			m.unreadable(c)
		case UpstreamGone, VMGone:
		}
	}
	m.config.Roster.Replace(ups, now)
	m.config.Fleet.Replace(vms, now)
	m.config.Log.WithFields(logrus.Fields{"upstreams": len(ups), "vms": len(vms)}).Info("all entries read")
	m.config.Changed()
}

// apply takes over changes in their order.
func (m *Mirror) apply(changes []Change, now time.Time) {
	for _, c := range changes {
		switch c := c.(type) {
		case RulesPut:
			m.install(c.Set)
		case UpstreamPut:
			if m.config.Roster.Put(c.Upstream) {
				m.config.Log.WithFields(logrus.Fields{
					"upstream": c.Upstream.ID, "service": c.Upstream.Service, "draining": c.Upstream.Draining,
				}).Info("upstream changed")
			}
		case UpstreamGone:
			if m.config.Roster.Remove(c.ID, now) {
				m.config.Log.WithField("upstream", c.ID).Info("upstream gone")
			}
		case VMPut:
			if m.config.Fleet.Put(c.VM) {
				m.config.Log.WithField("peer", c.VM.Name).Info("VM registered")
			}
		case VMGone:
			if m.config.Fleet.Remove(c.Name, now) {
				m.config.Log.WithField("peer", c.Name).Info("VM gone")
			}
		case DeathPut:
			m.config.Died(c.Fingerprint, c.Death)
		case Unreadable:
			m.unreadable(c)
		}
	}
	m.config.Changed()
}

// install puts rules in force unless newer ones are: a late or repeated read never takes the process back.
func (m *Mirror) install(set *ruleset.Set) {
	current := m.rules.Load()
	if current != nil && set.Version <= current.Version {
		return
	}
	m.rules.Store(set)
	m.config.Log.WithFields(logrus.Fields{"version": set.Version, "hosts": len(set.Hosts)}).Info("rules in force")
}

func (m *Mirror) unreadable(c Unreadable) {
	m.config.Log.WithError(c.Err).WithField("key", c.Key).Warn("entry can't be read, it names nothing to use")
}
