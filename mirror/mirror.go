package mirror

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/boottime"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/kernel"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
	"github.com/fulmarhitch/fulmarhitch/topology"
)

const (
	// watchWait is the longest wait of one watch. A broken watch goes unnoticed for this time and the slack. Together with
	// the fallbacks when a VM fails, it has to fit into the 2 s within which a configuration has to be in force.
	watchWait = 800 * time.Millisecond
	// minWait is the shortest wait of a watch after a batch delay.
	minWait = 200 * time.Millisecond
	// storeSlack is the time that an answer of the store may take beyond the wait before the watch counts as broken.
	storeSlack = 300 * time.Millisecond
	// peerSlack is the corresponding time for an answer of a peer.
	peerSlack = 400 * time.Millisecond
	// refreshTimeout bounds a call to a peer without a wait, which is made when the entries of this VM are nearly stale.
	refreshTimeout = 250 * time.Millisecond
	// refreshPause is the time between two such calls, in which the peer calls the store.
	refreshPause = 100 * time.Millisecond
	// readTimeout bounds a read of all entries. After a network partition, a VM has to see within 3 s which upstreams have
	// left meanwhile, so it must not wait for a connection that broke in the partition.
	readTimeout = 900 * time.Millisecond
	// batchDelay is the pause after a watch that returned changes, so that a series of changes takes few calls.
	batchDelay = 200 * time.Millisecond
	// batchDelayAtStart replaces batchDelay while the fleet starts and all its VMs and upstreams register themselves.
	batchDelayAtStart = 800 * time.Millisecond
	// sameOutage is the difference below which two ends of an outage are those of the same one.
	sameOutage = 500 * time.Millisecond
	// startupPeriod is the time for which a process counts as starting.
	startupPeriod = 3 * time.Second
	// joinPause is the time between two attempts to get the first entries, and joinTimeout bounds an attempt at a peer,
	// which may itself wait for its first entries.
	joinPause   = 50 * time.Millisecond
	joinTimeout = 2 * time.Second
	// minDiscoveryPause and maxDiscoveryPause bound the backoff between two searches for relays.
	minDiscoveryPause = 800 * time.Millisecond
	maxDiscoveryPause = 1200 * time.Millisecond
	// discoveryTimeout bounds a search.
	discoveryTimeout = 500 * time.Millisecond
	// seedPeriod is the time after the start in which a VM that the store doesn't answer asks the seeds all the time. Later it
	// does so after each search, as all VMs of the fleet may be in that state.
	seedPeriod = 5 * time.Second
	// minPause and maxPause bound the backoff after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 250 * time.Millisecond
	// outageAfter is the time without a successful call after which the store counts as lost: leases may have expired.
	outageAfter = time.Second
)

// Config holds the settings and dependencies of a mirror.
type Config struct {
	// Store is the authoritative source, and Decode decodes its entries.
	Store  Source
	Decode func(e Entry, now time.Time) []Change
	// Sources returns the VMs to follow in place of the store.
	Sources func() Sources
	// Discover looks for relays before the first entries are known; what it finds may be seconds old unless isFresh is set.
	Discover func(ctx context.Context, isFresh bool) error
	// MayReadStore reports whether this VM may read the first entries from the store if no peer provides them. All VMs of
	// a large fleet must not do so at once.
	MayReadStore func() bool
	// Relay receives each batch, for the VMs that follow this one.
	Relay  Relay
	Roster *roster.Roster
	Fleet  *fleet.Fleet
	// OnDeath is called with the deaths of upstreams that VMs have seen, and OnAnswer with the answers that speak against them.
	OnDeath  func(DeathPut)
	OnAnswer func(AnswerPut)
	// Clock returns a time that goes on while the machine is suspended; nil stands for boottime.Now.
	Clock func() time.Duration
	// MaxKeyAge is the ConfirmedAge above which the VM refuses requests, or 0 for no bound.
	MaxKeyAge time.Duration
	// OnChange is called after the view, or the peers that are lost, have changed.
	OnChange func()
	Log      *logrus.Entry
}

// Relay passes batches on to the VMs that follow this one.
type Relay interface {
	// Add adds a batch; lastContact is the time of the source's last contact with the store.
	Add(b Batch, lastContact time.Time)
	// Lost reports that there is no contact with the store any more.
	Lost()
}

// Sources are the VMs to follow in place of the store.
type Sources struct {
	// Tier is this VM's distance from the store.
	Tier topology.Tier
	// FleetSize is the number of VMs, or 0 if it isn't known.
	FleetSize int
	// Peers are the VMs, the preferred one first; there are none if this VM watches the store itself.
	Peers []Peer
	// Seeds are VMs that may have entries for a VM that can't look for others in the store; they may have ended.
	Seeds []Peer
	// Fallback are the VMs to follow while neither the peers nor the store can be reached.
	Fallback []Peer
	// Lost are the VMs that are not among the others because they didn't answer the last call.
	Lost []Peer
}

// Peer is a VM that may be followed.
type Peer struct {
	// Name identifies the VM, and Incarnation the run of its process; it is empty if it isn't known.
	Name, Incarnation string
	// Source provides its entries.
	Source Source
}

// process returns a key for the run of the peer's process.
func (p Peer) process() string {
	return p.Name + "\x00" + p.Incarnation
}

// Mirror is the kernel service that follows the store.
type Mirror struct {
	*kernel.Worker
	config Config
	rules  atomic.Pointer[ruleset.Set]
	// lastContact is the time of the last contact with the store, in ns since start.
	lastContact atomic.Int64
	// confirmed is the time on Clock at which the call of the store was sent that confirmed the rules; nil means that none has.
	confirmed atomic.Pointer[time.Duration]
	// position is the point in the store's history up to which the view is complete.
	position atomic.Pointer[Position]
	// joined is closed once the first entries are applied.
	joined    chan struct{}
	start     time.Time
	storeLost bool
	// storeFails is true after a call to the store has failed, until one succeeds.
	storeFails bool
	// outageEnd is the end of the last outage of the store that this VM has noticed or heard of.
	outageEnd time.Time
	// lastStoreCall is the time of the last call to the store.
	lastStoreCall time.Time
	// evacuated holds the failure domains that are evacuated.
	evacuated map[string]bool
	// peerAnsweredAt is the time at which a peer answered that it has lost contact with the store.
	peerAnsweredAt time.Time
	// retried reports whether the last step called a lost peer again.
	retried bool
	// storeAnswers reports whether the last answer came from the store itself, so that it is not the store that fails if no
	// peer can be followed.
	storeAnswers bool
	// jitter in [0, 1) spreads the calls of the store by VMs that aren't relays.
	jitter float64

	mu sync.Mutex
	// interrupt cancels the call in progress.
	interrupt context.CancelFunc
	// avoidUntil holds the times until which peers that failed are not followed, by process.
	avoidUntil map[string]time.Time
	// lost holds the times of the last calls to the peers that didn't answer them, by process.
	lost map[string]time.Time
}

// New returns a mirror without entries.
func New(c Config) *Mirror {
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	m := &Mirror{config: c, start: time.Now(), joined: make(chan struct{}), evacuated: make(map[string]bool), avoidUntil: make(map[string]time.Time), lost: make(map[string]time.Time), jitter: rand.Float64()}
	m.position.Store(&Position{})
	m.Worker = kernel.NewWorker(m.follow)
	return m
}

// Rules returns the rules in force, or nil if none are known yet.
func (m *Mirror) Rules() *ruleset.Set {
	return m.rules.Load()
}

// Joined returns a channel that is closed once the first entries of the store are known.
func (m *Mirror) Joined() <-chan struct{} {
	return m.joined
}

// reportJoined closes joined at its first call.
func (m *Mirror) reportJoined() {
	select {
	case <-m.joined:
	default:
		close(m.joined)
	}
}

// Position returns the point in the store's history up to which the view is complete.
func (m *Mirror) Position() Position {
	return *m.position.Load()
}

// Age returns the time since the last contact with the store.
func (m *Mirror) Age() time.Duration {
	return time.Since(m.start) - time.Duration(m.lastContact.Load())
}

// ConfirmedAge returns the time since the call of the store was sent that confirmed the rules, including the time in which this machine
// or one on the way was suspended. It is never less than the time for which a change of the rules may have gone unnoticed here, and
// the largest duration if nothing has confirmed them.
func (m *Mirror) ConfirmedAge() time.Duration {
	confirmed := m.confirmed.Load()
	if confirmed == nil {
		return math.MaxInt64
	}
	return m.config.Clock() - *confirmed
}

// confirm sets Confirmed of a batch that answers a call which was sent at the time on Clock. A peer can't confirm rules later than
// now.
func (m *Mirror) confirm(b *Batch, sent time.Duration, byStore bool) {
	if byStore {
		b.SentAge, b.HasSentAge = 0, true
	}
	b.IsConfirmed = b.HasSentAge
	b.Confirmed = min(sent-b.SentAge, m.config.Clock())
}

// join gets the first entries from a peer, or from the store. It returns false once ctx is done.
func (m *Mirror) join(ctx context.Context) bool {
	pause := backoff.New(minDiscoveryPause, maxDiscoveryPause)
	discoverAt, searchedAgain := time.Now(), false
	for ctx.Err() == nil {
		searched := !time.Now().Before(discoverAt)
		if searched {
			m.discover(ctx, false)
			discoverAt = time.Now().Add(pause.Next())
		}
		for _, p := range m.firstPeers(searched) {
			_, err := m.fetch(ctx, step{peer: &p, maxAge: maxAge}, false)
			if err == nil {
				return true
			}
			m.config.Log.WithError(err).WithField("peer", p.Name).Debug("peer has no entries for this VM yet")
		}
		if !searchedAgain && len(m.config.Sources().Peers) == 0 && m.config.MayReadStore() {
			// Another VM may have become a relay a short time ago, and following it is much cheaper.
			searchedAgain = true
			m.discover(ctx, true)
			continue
		}
		if ctx.Err() == nil && m.config.MayReadStore() {
			m.lastStoreCall = time.Now()
			_, err := m.fetch(ctx, step{}, false)
			if err == nil {
				return true
			}
			m.recordFailure(err)
			backoff.Sleep(ctx, minPause)
		}
		backoff.Sleep(ctx, joinPause)
	}
	return false
}

// firstPeers returns the VMs to ask for the first entries: those to follow, and the seeds if the store fails. The parameter searched
// reports whether relays have just been looked for.
func (m *Mirror) firstPeers(searched bool) []Peer {
	sources := m.config.Sources()
	if !m.storeFails || !searched && time.Since(m.start) >= seedPeriod {
		return sources.Peers
	}
	rand.Shuffle(len(sources.Seeds), func(i, j int) {
		sources.Seeds[i], sources.Seeds[j] = sources.Seeds[j], sources.Seeds[i]
	})
	return append(sources.Peers, sources.Seeds...)
}

// discover looks for relays.
func (m *Mirror) discover(ctx context.Context, isFresh bool) {
	callCtx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	err := m.config.Discover(callCtx, isFresh)
	m.storeFails = err != nil
	if err != nil && ctx.Err() == nil {
		m.config.Log.WithError(err).Debug("cannot look for relays in the store")
	}
}

// Interrupt ends the wait of the call in progress, so that the next call is made at once.
func (m *Mirror) Interrupt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.interrupt != nil {
		m.interrupt()
	}
}

// follow gets all entries and then watches, until ctx is done.
func (m *Mirror) follow(ctx context.Context) {
	pause := backoff.New(minPause, maxPause)
	canWatch := m.join(ctx)
	// storeOnly is true while only the store can provide the missing changes, watchBroken after its last watch has failed.
	storeOnly, watchBroken := false, false
	for ctx.Err() == nil {
		s := m.nextStep(storeOnly, watchBroken)
		if s.pause > 0 {
			backoff.Sleep(ctx, s.pause)
			continue
		}
		if s.peer == nil && s.wait > 0 {
			// The batch delay counts as part of the wait, so that followers never get data older than one wait.
			s.wait = max(s.wait-m.Age(), minWait)
		}
		if s.peer != nil && s.wait > 0 {
			s.wait = m.boundWait(s.wait)
		}
		b, err := m.fetch(ctx, s, canWatch)
		if s.peer == nil || err == nil {
			m.storeAnswers = s.peer == nil && err == nil
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			// The call was interrupted.
		case err == nil:
			pause.Reset()
			canWatch, storeOnly, watchBroken = true, false, false
			if len(b.Entries) > 0 {
				m.pauseAfterChanges(ctx, s.peer == nil)
			} else if s.peer != nil && s.wait == 0 {
				backoff.Sleep(ctx, refreshPause)
			}
		case errors.Is(err, ErrRestored):
			// The source answers, so no pause is needed.
			m.config.Log.WithError(err).Info("position belongs to an earlier history of the store; reading all entries")
			canWatch, storeOnly = false, s.peer == nil
		case s.peer != nil:
			m.avoid(*s.peer, err)
		case errors.Is(err, ErrCompacted):
			// The store answers, so no pause is needed.
			m.config.Log.WithField("revision", m.Position().Revision).Info("store no longer holds the next changes; reading all entries")
			canWatch, storeOnly = false, true
		case canWatch && !watchBroken:
			// A watch may break although the store answers, so all entries are read at once.
			m.config.Log.WithError(err).Info("watch of the store failed; reading all entries")
			watchBroken = true
		default:
			m.recordFailure(err)
			canWatch = canWatch && !m.storeLost
			pause.Wait(ctx)
		}
	}
}

// pauseAfterChanges waits for the batch delay. Calls of the store have a price, those of peers hardly.
func (m *Mirror) pauseAfterChanges(ctx context.Context, byStore bool) {
	if byStore && time.Since(m.start) < startupPeriod {
		backoff.Sleep(ctx, batchDelayAtStart)
		return
	}
	backoff.Sleep(ctx, batchDelay)
}

// fetch reads all entries or waits for changes, and applies them.
func (m *Mirror) fetch(ctx context.Context, s step, canWatch bool) (Batch, error) {
	source, timeout := m.config.Store, readTimeout
	switch {
	case s.peer != nil:
		source = s.peer.Source
		switch {
		case m.Position() == Position{}:
			timeout = joinTimeout
		case !canWatch:
			timeout = peerSlack
		case s.wait > 0:
			timeout = s.wait + peerSlack
		default:
			timeout = refreshTimeout
		}
	case s.wait == 0:
		canWatch = false
	case canWatch:
		timeout = s.wait + storeSlack
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.mu.Lock()
	m.interrupt = cancel
	m.mu.Unlock()
	began, sent := time.Now(), m.config.Clock()
	var b Batch
	var err error
	if canWatch {
		b, err = source.Watch(callCtx, m.Position(), s.wait)
	} else {
		b, err = source.Snapshot(callCtx)
	}
	if s.peer != nil && m.Position() != (Position{}) && ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		m.recordAnswer(*s.peer, err)
	}
	if err == nil && s.peer != nil && b.Age > s.maxAge {
		err = errors.Mark(errors.Newf("last contact of the peer with the store was %d ms ago", b.Age.Milliseconds()), ErrStale)
	}
	switch self := m.config.Fleet.Self().Incarnation; {
	case s.peer == nil:
		b.Reader = self
	case err == nil && self != "" && b.Reader == self && !s.isFallback:
		// The peer doesn't reach the store and follows this VM. If each took its entries from the other, nobody would read the store.
		err = errors.Mark(errors.New("the peer has its entries from this VM"), ErrStale)
	}
	before := m.Position()
	if err == nil {
		err = checkHistory(b, before, s.peer != nil)
	}
	if err != nil {
		return Batch{}, err
	}
	now := time.Now()
	lastContact := now.Add(-b.Age)
	if !canWatch {
		lastContact = began.Add(-b.Age)
	}
	m.confirm(&b, sent, s.peer == nil)
	m.recordSuccess(lastContact, s.peer == nil)
	if before != (Position{}) && b.Era != before.Era {
		m.recordRestore(b, before, lastContact, s.peer == nil)
	}
	if b.OutageEnd.After(m.outageEnd.Add(sameOutage)) {
		m.beginGrace(b.OutageEnd)
	}
	b.OutageEnd = m.outageEnd
	m.config.Relay.Add(b, lastContact)
	position := b.Position()
	if !b.Whole {
		position.Revision = max(position.Revision, before.Revision)
	}
	m.position.Store(&position)
	m.applyBatch(b, s.peer, now)
	if b.IsConfirmed {
		// The rules of the batch are in force by now, so that nobody sees older ones as confirmed.
		m.confirmed.Store(&b.Confirmed)
	}
	if before == (Position{}) {
		m.reportJoined()
	}
	return b, nil
}

// recordAnswer records whether the peer answered the last call to it; one that has lost contact with the store did.
func (m *Mirror) recordAnswer(p Peer, err error) {
	now, process := time.Now(), p.process()
	m.mu.Lock()
	_, wasLost := m.lost[process]
	isLost := err != nil && !errors.IsAny(err, ErrStale, ErrCompacted, ErrRestored)
	if isLost {
		m.lost[process] = now
	} else {
		delete(m.lost, process)
	}
	maps.DeleteFunc(m.lost, func(_ string, at time.Time) bool { return now.Sub(at) > lostMemory })
	m.mu.Unlock()
	if isLost != wasLost {
		m.config.OnChange()
	}
}

// IsLost reports whether the incarnation of the named peer didn't answer the last call to it.
func (m *Mirror) IsLost(name, incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, isLost := m.lost[Peer{Name: name, Incarnation: incarnation}.process()]
	return isLost
}

// applyBatch decodes a batch of the peer, or of the store if peer is nil, and applies it.
func (m *Mirror) applyBatch(b Batch, peer *Peer, now time.Time) {
	var changes []Change
	for _, e := range b.Entries {
		changes = append(changes, m.config.Decode(e, now)...)
	}
	switch {
	case b.Whole:
		upstreams, vms := m.replace(changes, now)
		log := m.config.Log.WithFields(logrus.Fields{"upstreams": upstreams, "vms": vms, "era": b.Era, "revision": b.Revision})
		if peer != nil {
			log = log.WithField("peer", peer.Name)
		}
		log.Info("all entries read")
	case len(changes) > 0:
		m.apply(changes, now)
	}
}

// recordFailure records a failed call to the store.
func (m *Mirror) recordFailure(err error) {
	m.storeFails = true
	if m.Age() < outageAfter {
		return
	}
	m.config.Relay.Lost()
	if m.storeLost {
		return
	}
	m.storeLost = true
	m.config.Log.WithError(err).WithField("heard-ms-ago", m.Age().Milliseconds()).Warn("lost contact with the store")
}

// recordSuccess records a contact with the store. After an outage, entries whose leases expired meanwhile stay for a grace
// period, in which they may be registered again. A peer tells by itself whether there was one.
func (m *Mirror) recordSuccess(contact time.Time, byStore bool) {
	m.storeFails = m.storeFails && !byStore
	if m.storeLost {
		m.config.Log.WithField("lost-ms", m.Age().Milliseconds()).Info("store answers again")
		m.storeLost = false
		if byStore {
			m.beginGrace(contact)
		}
	}
	m.lastContact.Store(int64(contact.Sub(m.start)))
}

// checkHistory checks that a batch may be applied to entries up to the position. Changes count from a revision of their own
// history, and a peer may not have heard yet that the store was restored. A peer of an earlier release states no era.
func checkHistory(b Batch, position Position, byPeer bool) error {
	switch {
	case byPeer && b.Era != 0 && b.Era < position.Era:
		return errors.Mark(errors.Newf("the peer is in era %d of the store, this VM in era %d", b.Era, position.Era), ErrStale)
	case !b.Whole && b.Era != position.Era:
		return errors.Mark(errors.Newf("changes are of era %d, entries of era %d", b.Era, position.Era), ErrRestored)
	}
	return nil
}

// recordRestore records that the source has begun another history. Entries that the store has lost stay for a grace period,
// in which they may be written again. A peer tells by itself when that period began.
func (m *Mirror) recordRestore(b Batch, before Position, contact time.Time, byStore bool) {
	m.config.Log.WithFields(logrus.Fields{
		"era": b.Era, "revision": b.Revision, "earlier-era": before.Era, "earlier-revision": before.Revision,
	}).Warn("store was restored from an older copy")
	if byStore {
		m.beginGrace(contact)
	}
}

// beginGrace begins the grace period after an outage.
func (m *Mirror) beginGrace(end time.Time) {
	m.outageEnd = end
	m.config.Roster.BeginGrace(end)
	m.config.Fleet.BeginGrace(end)
}

// replace applies a whole list of entries and returns the numbers of its upstreams and VMs.
func (m *Mirror) replace(changes []Change, now time.Time) (upstreams, vmCount int) {
	var ups []roster.Upstream
	var vms []fleet.VM
	hasSize := false
	evacuated := make(map[string]bool)
	for _, c := range changes {
		switch c := c.(type) {
		case UpstreamPut:
			ups = append(ups, c.Upstream)
		case VMPut:
			vms = append(vms, c.VM)
		case RulesPut:
			m.installRules(c.Set)
		case SizePut:
			hasSize = true
			m.config.Fleet.SetStoredSize(c.VMs)
		case DeathPut:
			m.config.OnDeath(c)
		case AnswerPut:
			m.config.OnAnswer(c)
		case Unreadable:
			m.logUnreadable(c)
		case EvacuationPut:
			evacuated[c.FailureDomain] = true
		case UpstreamRemoved, VMRemoved, EvacuationRemoved:
		}
	}
	if !hasSize {
		m.config.Fleet.LoseStoredSize()
	}
	m.setEvacuated(evacuated)
	m.config.Roster.Replace(ups, now)
	m.config.Fleet.Replace(vms, now)
	m.config.OnChange()
	return len(ups), len(vms)
}

// apply applies changes in their order.
func (m *Mirror) apply(changes []Change, now time.Time) {
	for _, c := range changes {
		switch c := c.(type) {
		case RulesPut:
			m.installRules(c.Set)
		case UpstreamPut:
			if m.config.Roster.Put(c.Upstream) {
				m.config.Log.WithFields(logrus.Fields{
					"upstream": c.Upstream.ID, "service": c.Upstream.Service, "draining": c.Upstream.Draining,
				}).Info("upstream changed")
			}
		case UpstreamRemoved:
			if m.config.Roster.Remove(c.ID, now) {
				m.config.Log.WithField("upstream", c.ID).Info("upstream removed")
			}
		case VMPut:
			if m.config.Fleet.Put(c.VM) {
				m.config.Log.WithField("peer", c.VM.Name).Info("VM registered")
			}
		case VMRemoved:
			if m.config.Fleet.Remove(c.Name, now) {
				m.config.Log.WithField("peer", c.Name).Info("VM removed")
			}
		case SizePut:
			m.config.Fleet.SetStoredSize(c.VMs)
		case EvacuationPut:
			m.changeEvacuation(c.FailureDomain, true)
		case EvacuationRemoved:
			m.changeEvacuation(c.FailureDomain, false)
		case DeathPut:
			m.config.OnDeath(c)
		case AnswerPut:
			m.config.OnAnswer(c)
		case Unreadable:
			m.logUnreadable(c)
		}
	}
	m.config.OnChange()
}

// installRules puts rules in force unless newer ones are: a late or repeated read never restores an older version.
func (m *Mirror) installRules(set *ruleset.Set) {
	current := m.rules.Load()
	if current != nil && set.Version <= current.Version {
		return
	}
	m.rules.Store(set)
	m.config.Log.WithFields(logrus.Fields{"version": set.Version, "hosts": len(set.Hosts)}).Info("rules in force")
}

func (m *Mirror) logUnreadable(c Unreadable) {
	m.config.Log.WithError(c.Err).WithField("key", c.Key).Warn("cannot decode an entry of the store; not using it")
}
