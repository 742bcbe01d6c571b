package mirror

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/topology"
)

const (
	// peerWait is the longest wait of one call to a peer.
	peerWait = time.Second
	// maxAge is the age of a peer's batch above which the peer counts as failed. It leaves the peer time to call the store
	// again after a broken watch, and this VM time to call it too.
	maxAge = 1400 * time.Millisecond
	// standbyMaxAge replaces maxAge for the standby, the VM next in order to watch the store. It is shorter, so that the
	// standby calls the store before the others have to.
	standbyMaxAge = 1250 * time.Millisecond
	// indirectMaxAge replaces maxAge for a VM that follows a relay. It is longer, so that the relay turns to the standby
	// before its followers turn away.
	indirectMaxAge = 2 * time.Second
	// staleSlack is the time beyond these ages in which a peer may learn that the store answers again, so that not all VMs call it after a
	// moment in which it didn't.
	staleSlack = 300 * time.Millisecond
	// refreshAge is the age of this VM's entries from which on it calls a peer without a wait after another one has failed.
	refreshAge = peerWait
	// keyAgeShare is the share of MaxKeyAge at which a peer's answer should arrive at the latest. Without that bound, the ages of VMs that
	// follow a relay reached 3.5 s in calm times: two waits of 1 s beside that of the store's watch.
	keyAgeShare = 0.75
	// failedPeerPause is the time for which a peer that failed is not followed. A live one is followed again before the VMs that the
	// failure has separated from each other expire in the list of VMs.
	failedPeerPause = 2 * time.Second
	// startupPeerPause replaces failedPeerPause while this process starts.
	startupPeerPause = 300 * time.Millisecond
	// stalePeerPause replaces failedPeerPause for a peer that has lost contact with the store itself.
	stalePeerPause = 500 * time.Millisecond
	// standbyStorePause is the time between calls of a lost store by the standby.
	standbyStorePause = 500 * time.Millisecond
	// relayStorePause is the same for the other relays.
	relayStorePause = 5 * time.Second
	// fallbackStorePause is the time between calls of a failing store by a VM that follows others meanwhile.
	fallbackStorePause = 2 * time.Second
	// followerCallRate is the number of calls of the store per second that the VMs that aren't relays make together while
	// their relays have lost contact with it. In an outage all these calls are in vain.
	followerCallRate = 30
	// minFollowerAge and maxFollowerAge bound the least age of its entries at which a VM that isn't a relay calls the store,
	// and also the time between such calls that failed. The latter holds for a fleet of unknown size too.
	minFollowerAge = time.Second
	maxFollowerAge = 4 * time.Second
	// lostMemory is the time after its last call after which a peer that didn't answer counts no longer as lost.
	lostMemory = time.Minute
	// answerMemory is the time for which the answer of a peer counts.
	answerMemory = 1500 * time.Millisecond
)

// step is what to do next: pause, or call a peer or the store.
type step struct {
	pause time.Duration
	// peer is nil for the store.
	peer *Peer
	// wait is 0 for a call that is answered at once; a call to the store then reads all entries.
	wait time.Duration
	// maxAge is the age of the peer's batch above which the peer counts as failed.
	maxAge time.Duration
	// isFallback reports that the peer is followed because the store fails here.
	isFallback bool
}

// nextStep returns the next step. When all VMs lose the one that they follow, only the standby should call the store; the
// others call the standby first.
func (m *Mirror) nextStep(storeOnly, watchBroken bool) step {
	sources, now := m.config.Sources(), time.Now()
	peers, isFollower := sources.Peers, sources.Tier >= topology.Direct
	if s, ok := m.retryStep(sources.Lost, now); ok && !storeOnly {
		return s
	}
	if storeOnly || len(peers) == 0 {
		if s, ok := m.fallbackStep(sources.Fallback, fallbackStorePause, now); ok && !storeOnly {
			return s
		}
		return m.storeStep(watchBroken)
	}
	s, storePause := step{wait: peerWait, maxAge: maxAge}, relayStorePause
	switch sources.Tier {
	case topology.Standby:
		s.maxAge, storePause = standbyMaxAge, standbyStorePause
	case topology.Indirect:
		s.maxAge = indirectMaxAge
	case topology.Watcher, topology.Relay, topology.Direct:
	}
	usable, usableAt := 0, now.Add(watchWait)
	for i, p := range peers {
		until, avoided := m.avoidUntil[p.process()]
		if avoided && !now.After(until) {
			if until.Before(usableAt) {
				usableAt = until
			}
			continue
		}
		delete(m.avoidUntil, p.process())
		usable++
		if s.peer == nil {
			s.peer = &peers[i]
		}
	}
	if s.peer == nil {
		// A VM that pauses its calls of a lost store still has to report itself to those that have lost it too.
		pause := fallbackStorePause
		if m.storeLost {
			pause = max(pause, storePause)
		}
		if s, ok := m.fallbackStep(sources.Fallback, pause, now); ok {
			return s
		}
	}
	isReduced := usable < len(peers) || len(sources.Lost) > 0
	storeAge := m.followerAge(sources.FleetSize)
	if m.storeAnswers || watchBroken || now.Sub(m.peerAnsweredAt) > answerMemory {
		// The store has answered this VM, or no peer has, not even that it has lost contact with the store.
		storeAge = minFollowerAge
	}
	switch {
	case s.peer == nil && isFollower && (m.Age() < storeAge || now.Sub(m.lastStoreCall) < storeAge):
		return step{pause: refreshPause}
	case s.peer == nil && m.storeLost && now.Sub(m.lastStoreCall) < storePause:
		return step{pause: refreshPause}
	case s.peer == nil:
		// The list of VMs comes from peers only.
		s = m.storeStep(watchBroken)
		s.wait = min(s.wait, max(usableAt.Sub(now), minWait))
		return s
	case m.storeLost:
		// The peer has nothing new either, and a longer call would hide for its time that the peer has ended.
		s.wait = 0
	case isReduced && m.Age() >= refreshAge:
		s.wait = 0
	case m.storeAnswers:
		// This VM reads the store. A call that waits would leave the store to a peer that may not reach it.
		s.wait = 0
	case isReduced:
		s.wait = max(peerWait-m.Age(), minWait)
	case sources.Tier != topology.Indirect:
		// A peer that no longer reaches the store is found out soon after its entries are too old.
		s.wait = min(s.wait, max(s.maxAge+staleSlack-m.Age(), minWait))
	}
	return s
}

// retryStep returns the step that calls the lost peer again that has waited longest for it, after each other step. So any number of
// lost peers takes little time from the others.
func (m *Mirror) retryStep(lost []Peer, now time.Time) (s step, ok bool) {
	if m.retried = !m.retried; !m.retried {
		return step{}, false
	}
	first := now
	for i, p := range lost {
		if until := m.avoidUntil[p.process()]; until.Before(first) {
			first, s, ok = until, step{peer: &lost[i], maxAge: maxAge}, true
		}
	}
	m.retried = ok
	return s, ok
}

// followerAge returns the age of its entries at which this VM, which isn't a relay, calls the store.
func (m *Mirror) followerAge(fleetSize int) time.Duration {
	age := maxFollowerAge
	if fleetSize > 0 {
		age = max(minFollowerAge, min(time.Duration(fleetSize)*time.Second/followerCallRate, maxFollowerAge))
	}
	return age + time.Duration(m.jitter*float64(age))
}

// fallbackStep returns the step that follows a VM in place of a store that fails, between the calls at intervals of storePause that
// find out whether the store still does: it may turn only some VMs away.
func (m *Mirror) fallbackStep(peers []Peer, storePause time.Duration, now time.Time) (s step, ok bool) {
	if !m.storeFails || now.Sub(m.lastStoreCall) >= storePause {
		return step{}, false
	}
	for i, p := range peers {
		if until, avoided := m.avoidUntil[p.process()]; avoided && !now.After(until) {
			continue
		}
		delete(m.avoidUntil, p.process())
		s := step{peer: &peers[i], maxAge: maxAge, isFallback: true}
		if m.Age() < refreshAge {
			s.wait = max(peerWait-m.Age(), minWait)
		}
		return s, true
	}
	return step{}, false
}

// storeStep returns the step that watches the store, or that reads all entries if the last watch failed.
func (m *Mirror) storeStep(watchBroken bool) step {
	m.lastStoreCall = time.Now()
	if watchBroken {
		return step{}
	}
	return step{wait: watchWait}
}

// boundWait returns the wait of a call to a peer, shortened so that its answer arrives before the rules are too old for requests with
// keys. If they are already, a shorter wait helps nobody.
func (m *Mirror) boundWait(wait time.Duration) time.Duration {
	age := m.ConfirmedAge()
	if m.config.MaxKeyAge == 0 || age >= m.config.MaxKeyAge {
		return wait
	}
	return min(wait, max(time.Duration(keyAgeShare*float64(m.config.MaxKeyAge))-age, minWait))
}

// avoid records that a peer is not followed for a while because of the error.
func (m *Mirror) avoid(p Peer, err error) {
	pause := failedPeerPause
	if time.Since(m.start) < startupPeriod {
		// After a loss of power, the peer may start a moment later. While VMs avoid the watcher, the fleet doesn't know itself.
		pause = startupPeerPause
	}
	if errors.Is(err, ErrStale) {
		m.peerAnsweredAt = time.Now()
	}
	if m.storeLost || errors.Is(err, ErrStale) {
		pause = stalePeerPause
	}
	m.avoidUntil[p.process()] = time.Now().Add(pause)
	m.config.Log.WithError(err).WithField("peer", p.Name).Info("peer failed; not following it for a while")
}
