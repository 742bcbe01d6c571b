package gossip

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

// Ping answers a direct ping, or pings the target on behalf of the sender.
func (g *Gossip) Ping(ctx context.Context, m *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	if err := g.applyMessage(m.GetSender(), m.GetEvents(), time.Now()); err != nil {
		return nil, err
	}
	if m.GetTarget() != "" {
		return g.pingFor(ctx, m.GetTarget())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	events := []*peerpb.Event{memberEvent(g.table.Self())}
	// A sender that this VM takes for suspect, dead or another process is told so, and can refute it.
	if known, ok := g.table.Get(m.GetSender().GetName()); ok && known.State != member.Candidate &&
		(known.State >= member.Suspect || known.Incarnation != m.GetSender().GetIncarnation()) {
		events = append(events, memberEvent(known))
	}
	return &peerpb.PingResponse{Sender: g.sender(), Reached: true, Events: append(events, g.piggyback()...)}, nil
}

// pingFor pings the target on behalf of a peer. It pings only addresses of known VMs, so that a peer cannot make this VM
// connect to any other address.
func (g *Gossip) pingFor(ctx context.Context, target string) (*peerpb.PingResponse, error) {
	g.mu.Lock()
	known := g.table.HasPeerAddress(target)
	self := memberEvent(g.table.Self())
	sender := g.sender()
	stretch := 1 + g.slowness
	g.mu.Unlock()
	if !known {
		return nil, errors.Newf("gossip: target %s is not a known VM", target)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(stretch)*g.options.PingTimeout)
	defer cancel()
	res, err := g.transport.Ping(ctx, target, &peerpb.PingRequest{Sender: sender, Events: []*peerpb.Event{self}})
	if err == nil {
		err = g.applyMessage(res.GetSender(), res.GetEvents(), time.Now())
	}
	if err != nil {
		return &peerpb.PingResponse{Sender: g.Sender(), Events: []*peerpb.Event{self}}, nil
	}
	return &peerpb.PingResponse{Sender: g.Sender(), Reached: true, Events: append(res.GetEvents(), self)}, nil
}

// Push applies the events of a peer.
func (g *Gossip) Push(_ context.Context, m *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	if err := g.applyMessage(m.GetSender(), m.GetEvents(), time.Now()); err != nil {
		return nil, err
	}
	return &peerpb.PushResponse{}, nil
}

// Compare applies the events of a peer, and answers digests with the state of the buckets that differ.
func (g *Gossip) Compare(_ context.Context, m *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	now := time.Now()
	if n := len(m.GetDigests()); n != 0 && n != buckets {
		return nil, errors.Newf("gossip: %d digests, want %d", n, buckets)
	}
	if err := g.applyMessage(m.GetSender(), m.GetEvents(), now); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	res := &peerpb.CompareResponse{Sender: g.sender()}
	if len(m.GetDigests()) == 0 {
		return res, nil
	}
	state := g.state(now)
	for i, d := range digest(state) {
		if d != m.GetDigests()[i] {
			res.Differing = append(res.Differing, uint32(i))
		}
	}
	res.Events = inBuckets(state, res.GetDiffering())
	return res, nil
}

// piggyback returns the events to send with one ping or its answer. The caller must hold g.mu.
func (g *Gossip) piggyback() []*peerpb.Event {
	return g.events.refresh(g.broadcasts.take(g.table.NumOthers()+1), time.Now())
}
