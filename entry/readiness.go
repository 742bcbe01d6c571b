package entry

import (
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// isolatedAfter is the silence of the store and of all peers after which a VM refuses requests, because another
// configuration may be in force. It leaves 1 s of the 5 s in which a change has to be in force everywhere.
const isolatedAfter = 4 * time.Second

// readiness tells whether the process may serve requests. Once set it stays.
type readiness struct {
	set atomic.Bool
	// looked tells that the VM list was asked for once. Before that a VM knows too few others to tell whether the fleet has
	// room for it.
	looked atomic.Bool
}

// admit returns the reason to refuse requests, or an empty one.
func (e *Entry) admit() outcome.Reason {
	// The fleet's limits have no share for two processes of one name, and peers no longer count this one.
	if e.gossip.Replaced() {
		return outcome.NotReady
	}
	if !e.ready.set.Load() && !e.becomeReady() {
		return outcome.NotReady
	}
	if e.isolated(time.Now()) {
		return outcome.Isolated
	}
	return ""
}

// isolated tells whether the VM has heard neither the store nor a peer for long, though it knows of peers.
func (e *Entry) isolated(now time.Time) bool {
	if now.Sub(e.gossip.LastHeard()) < isolatedAfter {
		return false
	}
	return now.Sub(e.reader.Confirmed()) >= isolatedAfter && e.gossip.Others() > 0
}

// becomeReady sets readiness once a configuration is in force here that the store or enough peers have confirmed,
// and the fleet has room for this VM.
func (e *Entry) becomeReady() bool {
	p := e.router.Plan()
	if p == nil || !e.ready.looked.Load() {
		return false
	}
	live := e.gossip.Live()
	if len(live) > p.Declaration.MaxEntryVMs {
		return false
	}
	if e.reader.Confirmed().IsZero() && !e.confirmedByPeers(p.Declaration, live) {
		return false
	}
	e.ready.set.Store(true)
	e.log.WithField("generation", e.holder.Generation()).Info("entry VM is ready")
	return true
}

// confirmedByPeers tells whether peers of at least two failure domains, or of the only one that the file names, have
// announced their generations and none is above this VM's. The file counts and not the live members, because a starting
// VM that has heard of one failure domain only may have been cut off from the others.
func (e *Entry) confirmedByPeers(d *declaration.Declaration, live []member.Member) bool {
	generations := e.gossip.Generations()
	heard := make(map[string]bool)
	for _, m := range live {
		if m.Name == e.self.Name {
			continue
		}
		n := generations[m.Name]
		if n > e.holder.Generation() {
			return false
		}
		if n > 0 {
			heard[m.FailureDomain] = true
		}
	}
	return len(heard) >= min(2, max(len(d.FailureDomains), 1))
}
