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
	// watchWait is the longest wait of one watch. A broken watch goes unnoticed for this time and the slack. The time in
	// which a configuration has to be in force, 2 s, is for this and the ways round a VM that fails.
	watchWait = 800 * time.Millisecond
	// minWait is the shortest wait of a watch after changes were gathered.
	minWait = 200 * time.Millisecond
	// storeSlack is the time that an answer of the store may take beyond the wait before the watch counts as broken.
	storeSlack = 300 * time.Millisecond
	// peerSlack is the same for an answer of a peer.
	peerSlack = 400 * time.Millisecond
	// checkTimeout bounds a call of a peer without a wait, which is made when the own knowledge is nearly too old.
	checkTimeout = 250 * time.Millisecond
	// checkPause is the time between two such calls, in which the peer asks the store.
	checkPause = 100 * time.Millisecond
	// readTimeout bounds a read of all entries. A VM that was cut off has to see within 3 s which upstreams have left
	// meanwhile, so it must not wait for a connection that died in the cut.
	readTimeout = 900 * time.Millisecond
	// gather is the pause after a watch that returned changes, so that a series of changes costs few calls.
	gather = 200 * time.Millisecond
	// gatherAtStart is the same while the fleet starts and all its VMs and upstreams register themselves.
	gatherAtStart = 800 * time.Millisecond
	// startTime is the time for which a process counts as starting.
	startTime = 3 * time.Second
	// minPause and maxPause bound the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 250 * time.Millisecond
	// outageAfter is the time without a successful call after which the store counts as lost: entries may have lapsed.
	outageAfter = time.Second
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
	// asked is when the store was last asked.
	asked time.Time
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
	pause := backoff.New(minPause, maxPause)
	revision, known := uint64(0), false
	// storeOnly tells that only the store itself can say what was missed, broken that the last watch of it failed.
	storeOnly, broken := false, false
	for ctx.Err() == nil {
		s := m.next(storeOnly, broken)
		if s.pause > 0 {
			backoff.Sleep(ctx, s.pause)
			continue
		}
		if s.peer == nil && s.wait > 0 {
			// The pause for gathering counts, so that what followers are told is never older than one wait.
			s.wait = max(s.wait-m.Age(), minWait)
		}
		b, err := m.hear(ctx, s, revision, known)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			pause.Reset()
			revision, known, storeOnly, broken = max(b.Revision, revision), true, false, false
			if len(b.Entries) > 0 {
				m.gather(ctx)
			} else if s.peer != nil && s.wait == 0 {
				backoff.Sleep(ctx, checkPause)
			}
		case s.peer != nil:
			m.avoid(s.peer.Name, err)
		case errors.Is(err, ErrForgotten):
			// The store answers, so there is nothing to wait for.
			m.config.Log.WithField("revision", revision).Info("history of the store is gone, reading all entries")
			known, storeOnly = false, true
		case known && !broken:
			// A watch may break although the store answers, so it is asked for all entries at once.
			m.config.Log.WithError(err).Info("watch of the store is broken")
			broken = true
		default:
			m.failed(err)
			known = known && !m.lost
			pause.Wait(ctx)
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

// hear reads all entries or waits for changes, and takes them over.
func (m *Mirror) hear(ctx context.Context, s step, revision uint64, known bool) (Batch, error) {
	source, timeout := m.config.Store, readTimeout
	switch {
	case s.peer != nil:
		source = s.peer.Source
		if known && s.wait > 0 {
			timeout = s.wait + peerSlack
		} else if known {
			timeout = checkTimeout
		}
	case s.wait == 0:
		known = false
	case known:
		timeout = s.wait + storeSlack
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	var b Batch
	var err error
	if known {
		b, err = source.Watch(call, revision, s.wait)
	} else {
		b, err = source.Snapshot(call)
	}
	if err == nil && s.peer != nil && b.Age > s.maxAge {
		err = errors.Mark(errors.Newf("what the peer knows is %d ms old", b.Age.Milliseconds()), ErrStale)
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
