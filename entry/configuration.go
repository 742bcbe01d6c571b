package entry

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/home"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/submission"
)

// isWatcher reports whether this VM reads the store and the VM list for its failure domain.
func (e *Entry) isWatcher() bool {
	return slices.Contains(home.Watchers(e.self.FailureDomain, e.gossip.Live()), e.self.Name)
}

// highestPeerGeneration returns the highest generation that peers have announced as in force.
func (e *Entry) highestPeerGeneration() uint64 {
	highest := uint64(0)
	for _, n := range e.gossip.Generations() {
		highest = max(highest, n)
	}
	return highest
}

// pull fetches an envelope above the generation from a random live peer that has one, in this failure domain if
// possible.
func (e *Entry) pull(ctx context.Context, above uint64) ([]byte, error) {
	generations := e.gossip.Generations()
	var sameDomain, otherDomains []member.Member
	for _, m := range e.gossip.Live() {
		switch {
		case m.Name == e.self.Name || generations[m.Name] <= above:
		case m.FailureDomain == e.self.FailureDomain:
			sameDomain = append(sameDomain, m)
		default:
			otherDomains = append(otherDomains, m)
		}
	}
	sources := sameDomain
	if len(sources) == 0 {
		sources = otherDomains
	}
	if len(sources) == 0 {
		return nil, errors.Newf("entry: no live peer has a generation above %d", above)
	}
	from := sources[rand.IntN(len(sources))]
	res, err := e.peers.Pull(ctx, from.PeerAddress, &peerpb.PullRequest{Sender: e.gossip.Sender(), Above: above})
	if err != nil {
		return nil, err
	}
	if len(res.GetEnvelope()) == 0 {
		return nil, errors.Newf("entry: peer %s has generation %d, which is not above %d", from.Name, res.GetGeneration(), above)
	}
	return res.GetEnvelope(), nil
}

// servePull serves a peer's request for a newer configuration.
func (e *Entry) servePull(_ context.Context, m *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	res := &peerpb.PullResponse{Generation: e.holder.Generation()}
	current := e.holder.Current()
	if current == nil || current.Envelope.Generation <= m.GetAbove() {
		return res, nil
	}
	data, err := envelope.Encode(current.Envelope)
	if err != nil {
		return nil, err
	}
	res.Envelope = data
	return res, nil
}

// submit submits a file as the next configuration.
func (e *Entry) submit(ctx context.Context, text []byte, base uint64, id string) submission.Result {
	if reason := e.admit(); reason != "" && e.holder.Current() != nil {
		return submission.Unavailable{Cause: errors.Newf("this entry VM is %s", string(reason))}
	}
	return submission.New(countingStore{e.store, e.metrics}, e.holder, declaration.Parse, e.highestPeerGeneration, e.log).Submit(ctx, text, base, id)
}

// unconfirmed waits for the confirmations of a generation and returns the names of the VMs that sent none.
func (e *Entry) unconfirmed(ctx context.Context, n uint64) []string {
	var names []string
	for _, m := range e.gossip.Confirm(ctx, n) {
		names = append(names, m.Name)
	}
	return names
}
