package entry

import (
	"sync/atomic"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// isolationTimeout is the time without contact with the store and with any peer after which a VM refuses requests,
// because another configuration may be in force. It leaves 1 s of the 5 s within which a change must be in force everywhere.
const isolationTimeout = 4 * time.Second

// readiness records whether the process may serve requests.
type readiness struct {
	// ready is never reset.
	ready atomic.Bool
	// vmListRequested is set after the first read of the VM list, even a failed one. Before that a VM knows too few
	// others to decide whether it exceeds the fleet's maximum.
	vmListRequested atomic.Bool
}

// admit returns the reason to refuse requests, or "" to accept them.
func (e *Entry) admit() outcome.Reason {
	// The fleet's limits have one share for each name, and peers no longer count this replaced process.
	if e.gossip.Replaced() {
		return outcome.NotReady
	}
	if !e.readiness.ready.Load() && !e.becomeReady() {
		return outcome.NotReady
	}
	if e.isolated(time.Now()) {
		return outcome.Isolated
	}
	return ""
}

// isolated reports whether the VM knows of peers but has had no contact with the store or any peer for isolationTimeout.
func (e *Entry) isolated(now time.Time) bool {
	if now.Sub(e.gossip.LastContact()) < isolationTimeout {
		return false
	}
	return now.Sub(e.syncer.LastContact()) >= isolationTimeout && e.gossip.NumOthers() > 0
}

// becomeReady makes the process ready, and reports true, if the store or enough peers have confirmed the configuration
// in force here and the entry VMs that may be alive don't exceed their maximum. Listed VMs count until they have failed to
// answer, because a process that has become ready stays so.
func (e *Entry) becomeReady() bool {
	p := e.router.Plan()
	if p == nil || !e.readiness.vmListRequested.Load() {
		return false
	}
	if e.gossip.MaxLive() > p.Declaration.MaxEntryVMs {
		return false
	}
	if e.syncer.LastContact().IsZero() && !e.confirmedByPeers(p.Declaration, e.gossip.Live()) {
		return false
	}
	e.readiness.ready.Store(true)
	e.log.WithField("generation", e.holder.Generation()).Info("entry VM is ready")
	return true
}

// confirmedByPeers reports whether peers of at least two failure domains, or of the only one in the file, have announced
// their generations and none is above this VM's. The domains of the file count and not those of the live members,
// because a starting VM that has contact with one failure domain only may be separated from the others by a network
// partition.
func (e *Entry) confirmedByPeers(d *declaration.Declaration, live []member.Member) bool {
	generations := e.gossip.Generations()
	announcedDomains := make(map[string]bool)
	for _, m := range live {
		if m.Name == e.self.Name {
			continue
		}
		n := generations[m.Name]
		if n > e.holder.Generation() {
			return false
		}
		if n > 0 {
			announcedDomains[m.FailureDomain] = true
		}
	}
	return len(announcedDomains) >= min(2, max(len(d.FailureDomains), 1))
}
