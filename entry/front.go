package entry

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/front"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/steer"
)

func (e *Entry) newFront(l net.Listener) *front.Server {
	return front.New(front.Config{
		Listener: l, Run: e.router.Run, Refuse: e.router.Refuse, Current: e.holder.Current, Addresses: e.addresses, Submit: e.submit,
		Unconfirmed: e.unconfirmed, Status: e.status, Metrics: e.metrics.Handler(), Log: e.log,
	})
}

// addresses returns the entry VMs that a caller should use. The time in the answer is the ledger's, by which keys expire.
func (e *Entry) addresses(service string, c steer.Caller, now time.Time) (steer.Addresses, error) {
	if reason := e.admit(); reason != "" {
		return steer.Addresses{}, errors.Newf("entry: %s", string(reason))
	}
	return steer.Answer(e.router.Plan().Declaration, service, e.gossip.Live(), c, e.ledger.Now(now))
}

// status returns the status of the process for operators.
func (e *Entry) status() front.Status {
	now := time.Now()
	st := front.Status{
		Name: e.self.Name, Incarnation: e.self.Incarnation, FailureDomain: e.self.FailureDomain,
		Generation: e.holder.Generation(), Ready: e.readiness.ready.Load(), Isolated: e.isolated(now), StoreAgeMs: -1,
		LedgerKeys: e.ledger.Len(),
	}
	if at := e.reader.Confirmed(); !at.IsZero() {
		st.StoreAgeMs = now.Sub(at).Milliseconds()
	}
	generations := e.gossip.Generations()
	for _, m := range e.gossip.Members() {
		if m.Name == e.self.Name {
			st.Leaving = m.State == member.Leaving
		}
		st.Members = append(st.Members, front.MemberStatus{
			Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, State: m.State.String(), Generation: generations[m.Name],
		})
	}
	for id, load := range e.groups.Loads() {
		st.Groups = append(st.Groups, front.GroupStatus{Group: id, Free: load[0], Waiting: load[1]})
	}
	slices.SortFunc(st.Groups, func(a, b front.GroupStatus) int { return strings.Compare(a.Group, b.Group) })
	return st
}
