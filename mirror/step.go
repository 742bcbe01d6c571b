package mirror

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// peerWait is the longest wait of one call of a peer.
	peerWait = time.Second
	// maxAge is the age of a peer's knowledge above which the peer counts as failed. It leaves the peer time to ask the
	// store again after a broken watch, and the own VM time to ask it too.
	maxAge = 1400 * time.Millisecond
	// maxAgeNext is the same for the VM that is next to watch the store. It asks the store before the others have to.
	maxAgeNext = 1250 * time.Millisecond
	// checkAge is the age of the own knowledge from which on a peer is asked without a wait after another one has failed.
	checkAge = peerWait
	// peerPause is the time for which a peer that failed is not followed. The entry of a dead one has ended by then.
	peerPause = 4 * time.Second
	// stalePause is the same for a peer that is not heard by the store either.
	stalePause = 500 * time.Millisecond
	// nextPause is the time between calls of a lost store by the VM that is next to watch it.
	nextPause = 500 * time.Millisecond
	// followerPause is the same for the other VMs that have peers to follow.
	followerPause = 5 * time.Second
)

// step is what to do next: to pause, or to ask a peer or the store.
type step struct {
	pause time.Duration
	// peer is nil for the store.
	peer *Peer
	// wait is 0 for a call that is answered at once; the store is then asked for all entries.
	wait time.Duration
	// maxAge is the age of the peer's knowledge above which it counts as failed.
	maxAge time.Duration
}

// next returns the next step. When all VMs lose the one that they follow, only the next one in order should turn to the
// store; the others ask that one first.
func (m *Mirror) next(storeOnly, broken bool) step {
	peers, now := m.config.Peers(), time.Now()
	if storeOnly || len(peers) == 0 {
		return m.store(broken)
	}
	s, storePause := step{wait: peerWait, maxAge: maxAge}, followerPause
	if len(peers) == 1 {
		s.maxAge, storePause = maxAgeNext, nextPause
	}
	alive := 0
	for i, p := range peers {
		if to, failed := m.failedTo[p.Name]; !failed || now.After(to) {
			delete(m.failedTo, p.Name)
			alive++
			if s.peer == nil {
				s.peer = &peers[i]
			}
		}
	}
	switch {
	case s.peer == nil && m.lost && now.Sub(m.asked) < storePause:
		return step{pause: checkPause}
	case s.peer == nil:
		return m.store(broken)
	case alive < len(peers) && m.Age() >= checkAge && !m.lost:
		s.wait = 0
	case alive < len(peers) && !m.lost:
		s.wait = max(peerWait-m.Age(), minWait)
	}
	return s
}

// store returns the step that watches the store, or reads all entries if the last watch is broken.
func (m *Mirror) store(broken bool) step {
	m.asked = time.Now()
	if broken {
		return step{}
	}
	return step{wait: watchWait}
}

// avoid notes a peer that is not followed for a while because of the error.
func (m *Mirror) avoid(name string, err error) {
	pause := peerPause
	if m.lost || errors.Is(err, ErrStale) {
		pause = stalePause
	}
	m.failedTo[name] = time.Now().Add(pause)
	m.config.Log.WithError(err).WithField("peer", name).Info("peer failed")
}
