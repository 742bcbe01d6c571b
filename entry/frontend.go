package entry

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/addressing"
	"github.com/fulmarhitch/fulmarhitch/frontend"
	"github.com/fulmarhitch/fulmarhitch/member"
)

func (e *Entry) newFrontend(l net.Listener) *frontend.Server {
	return frontend.New(frontend.Config{
		Listener: l, Bodies: e.bodies, Run: e.router.Run, Refuse: e.router.RefusalOutcome, Current: e.holder.Current, Addresses: e.addresses, Submit: e.submit,
		Unconfirmed: e.unconfirmed, Status: e.status, Metrics: e.metrics.Handler(), Log: e.log,
	})
}

// addresses returns the entry VMs that a caller should use. The time in the answer is the ledger's, by which keys expire.
func (e *Entry) addresses(service string, c addressing.Caller, now time.Time) (addressing.Addresses, error) {
	if reason := e.admit(); reason != "" {
		return addressing.Addresses{}, errors.Newf("entry: %s", string(reason))
	}
	return addressing.Select(e.router.Plan().Declaration, service, e.gossip.Live(), c, e.ledger.Now(now))
}

// status returns the status of the process for operators.
func (e *Entry) status() frontend.Status {
	now := time.Now()
	st := frontend.Status{
		Name: e.self.Name, Incarnation: e.self.Incarnation, FailureDomain: e.self.FailureDomain,
		Generation: e.holder.Generation(), Ready: e.readiness.ready.Load(), Isolated: e.isolated(now), StoreAgeMs: -1,
		LedgerKeys: e.ledger.Len(),
	}
	if at := e.syncer.LastContact(); !at.IsZero() {
		st.StoreAgeMs = now.Sub(at).Milliseconds()
	}
	generations := e.gossip.Generations()
	for _, m := range e.gossip.Members() {
		if m.Name == e.self.Name {
			st.Leaving = m.State == member.Leaving
		}
		st.Members = append(st.Members, frontend.MemberStatus{
			Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, State: m.State.String(), Generation: generations[m.Name],
		})
	}
	for id, load := range e.groups.Loads() {
		st.Groups = append(st.Groups, frontend.GroupStatus{Group: id, Free: load[0], Waiting: load[1]})
	}
	slices.SortFunc(st.Groups, func(a, b frontend.GroupStatus) int { return strings.Compare(a.Group, b.Group) })
	return st
}
