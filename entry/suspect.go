package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

const (
	// announceTimeout bounds the wait for the peers that are told of a suspected request; it is that of a ping.
	announceTimeout = 200 * time.Millisecond
	// maxAnnounced bounds the suspected requests that all peers are told of at once. It covers all slots of several
	// upstreams; when more die together, no single request is the cause, and the usual pushes cost less.
	maxAnnounced = 32
)

// announce tells all live peers of a suspected request and returns once they know it. Pushes to random peers wait 10 ms
// for other events, and a caller that repeats the request at another VM in that time costs one more upstream.
func (e *Entry) announce(event *peerpb.Event) {
	e.gossip.Publish(event)
	if e.announcing.Add(1) > maxAnnounced {
		e.announcing.Add(-1)
		return
	}
	defer e.announcing.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	m := &peerpb.PushRequest{Sender: e.gossip.Sender(), Events: []*peerpb.Event{event}}
	var pushes sync.WaitGroup
	for _, p := range e.gossip.Live() {
		if p.Name != e.self.Name {
			// A push that fails is repaired by pings and comparisons.
			pushes.Go(func() { _, _ = e.peers.Push(ctx, p.PeerAddress, m) })
		}
	}
	pushes.Wait()
}

// servePush takes the events of a peer. Suspected requests are in force before the answer and not only once the planner
// takes the event, because the peer reports the outcome to its caller after the answer.
func (e *Entry) servePush(ctx context.Context, m *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	res, err := e.gossip.Push(ctx, m)
	if err != nil {
		return nil, err
	}
	for _, event := range m.GetEvents() {
		if s := event.GetSuspect(); s != nil {
			e.suspects.Take(s)
		}
	}
	return res, nil
}
