package gossip

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

// Ping answers a direct ping, or pings the target for the sender.
func (g *Gossip) Ping(ctx context.Context, m *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	if err := g.absorb(m.GetSender(), m.GetEvents(), time.Now()); err != nil {
		return nil, err
	}
	if m.GetTarget() != "" {
		return g.pingFor(ctx, m.GetTarget())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	events := []*peerpb.Event{memberEvent(g.table.Self())}
	// A sender that is held to be dead, or to be another process, learns it and can refute it.
	if known, ok := g.table.Get(m.GetSender().GetName()); ok && known.State != member.Candidate &&
		(known.State >= member.Suspect || known.Incarnation != m.GetSender().GetIncarnation()) {
		events = append(events, memberEvent(known))
	}
	return &peerpb.PingResponse{Sender: g.sender(), Reached: true, Events: append(events, g.take()...)}, nil
}

// pingFor pings only addresses of known VMs, so that a peer can't make this VM connect to anything else.
func (g *Gossip) pingFor(ctx context.Context, target string) (*peerpb.PingResponse, error) {
	g.mu.Lock()
	known := g.table.Addressed(target)
	self := memberEvent(g.table.Self())
	sender := g.sender()
	g.mu.Unlock()
	if !known {
		return nil, errors.Newf("gossip: target %s is not a known VM", target)
	}
	ctx, cancel := context.WithTimeout(ctx, g.options.PingTimeout)
	defer cancel()
	res, err := g.transport.Ping(ctx, target, &peerpb.PingRequest{Sender: sender, Events: []*peerpb.Event{self}})
	if err == nil {
		err = g.absorb(res.GetSender(), res.GetEvents(), time.Now())
	}
	if err != nil {
		return &peerpb.PingResponse{Sender: g.Sender(), Events: []*peerpb.Event{self}}, nil
	}
	return &peerpb.PingResponse{Sender: g.Sender(), Reached: true, Events: append(res.GetEvents(), self)}, nil
}

// Push takes over events.
func (g *Gossip) Push(_ context.Context, m *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	if err := g.absorb(m.GetSender(), m.GetEvents(), time.Now()); err != nil {
		return nil, err
	}
	return &peerpb.PushResponse{}, nil
}

// Compare answers digests with the state of the buckets that differ, and takes over events.
func (g *Gossip) Compare(_ context.Context, m *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	now := time.Now()
	if n := len(m.GetDigests()); n != 0 && n != buckets {
		return nil, errors.Newf("gossip: %d digests, want %d", n, buckets)
	}
	if err := g.absorb(m.GetSender(), m.GetEvents(), now); err != nil {
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

// take returns the events for one ping message.
func (g *Gossip) take() []*peerpb.Event {
	return g.events.refresh(g.broadcasts.take(g.table.Others()+1), time.Now())
}
