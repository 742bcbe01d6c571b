package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

const (
	// watchWait is the longest wait of one watch. It bounds the time for which a broken watch goes unnoticed, and is
	// below the 2 s in which a configuration has to be in force.
	watchWait = 1500 * time.Millisecond
	// watchSlack is the time that an answer may take beyond the wait before the call counts as failed.
	watchSlack = 600 * time.Millisecond
	// readTimeout bounds a read of all entries. A VM that was cut off has to see within 3 s which upstreams have
	// left meanwhile, so it must not wait for a connection that died in the cut.
	readTimeout = 900 * time.Millisecond
	// gather is the pause after a watch that returned changes, so that a series of changes costs few calls.
	gather = 200 * time.Millisecond
	// minPause and maxPause bound the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 250 * time.Millisecond
	// outageAfter is the time without a successful call after which the store counts as lost: entries may have lapsed.
	outageAfter = time.Second
)

// Config holds what a mirror works with.
type Config struct {
	Source Source
	Roster *roster.Roster
	Fleet  *fleet.Fleet
	// Changed is called after the view has changed.
	Changed func()
	Log     *logrus.Entry
}

// Mirror is the kernel service that follows the store.
type Mirror struct {
	config Config
	rules  atomic.Pointer[ruleset.Set]
	// heard is the time of the last successful call, in ns since the start.
	heard  atomic.Int64
	start  time.Time
	lost   bool
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// New returns a mirror that knows nothing.
func New(c Config) *Mirror {
	return &Mirror{config: c, start: time.Now()}
}

// Rules returns the rules in force, or nil if none are known yet.
func (m *Mirror) Rules() *ruleset.Set {
	return m.rules.Load()
}

// Age returns the time since the store was last heard.
func (m *Mirror) Age() time.Duration {
	return time.Since(m.start) - time.Duration(m.heard.Load())
}

// Start begins to follow the store.
func (m *Mirror) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.ended.Go(func() { m.follow(ctx) })
	return nil
}

// Stop ends the duty.
func (m *Mirror) Stop(context.Context) error {
	m.cancel()
	m.ended.Wait()
	return nil
}

// follow reads all entries and then watches, until ctx is done.
func (m *Mirror) follow(ctx context.Context) {
	pause := backoff.New(minPause, maxPause)
	revision, known := uint64(0), false
	for ctx.Err() == nil {
		var err error
		if known {
			revision, err = m.watch(ctx, revision)
		} else if revision, err = m.read(ctx); err == nil {
			known = true
		}
		switch {
		case err == nil:
			pause.Reset()
		case errors.Is(err, ErrForgotten):
			// The store answers, so there is nothing to wait for.
			m.config.Log.WithField("revision", revision).Info("history of the store is gone, reading all entries")
			known = false
		default:
			known = false
			m.failed(ctx, err)
			pause.Wait(ctx)
		}
	}
}

// failed notes a failed call.
func (m *Mirror) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || m.lost || m.Age() < outageAfter {
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

// read takes over all entries.
func (m *Mirror) read(ctx context.Context) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	changes, revision, err := m.config.Source.Snapshot(call)
	if err != nil {
		return 0, err
	}
	m.succeeded(began)
	m.replace(changes, time.Now())
	return revision, nil
}

// watch waits for changes after the revision and takes them over.
func (m *Mirror) watch(ctx context.Context, revision uint64) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	changes, next, err := m.config.Source.Watch(call, revision, watchWait)
	if err != nil {
		return revision, err
	}
	now := time.Now()
	m.succeeded(now)
	if len(changes) > 0 {
		m.apply(changes, now)
		backoff.Sleep(ctx, gather)
	}
	return max(next, revision), nil
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
