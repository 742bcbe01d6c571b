package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

const (
	// announceTimeout bounds the wait for the peers to which a suspected request is announced; it equals that of a ping.
	announceTimeout = 200 * time.Millisecond
	// maxAnnouncements bounds the suspected requests that are announced to all peers at the same time. It covers all slots
	// of several upstreams; if more upstreams fail together, no single request is the cause, and gossip pushes cost less.
	maxAnnouncements = 32
)

// announceSuspect sends a suspected request to all live peers and returns once they have acknowledged it or the timeout
// has passed. Gossip alone is too slow: its pushes to random peers wait 10 ms for other events, and a caller that
// repeats the request at another VM in that time makes one more upstream fail.
func (e *Entry) announceSuspect(event *peerpb.Event) {
	e.gossip.Publish(event)
	if e.announcing.Add(1) > maxAnnouncements {
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
			// If a push fails, the event still spreads by pings and comparisons.
			pushes.Go(func() { _, _ = e.peers.Push(ctx, p.PeerAddress, m) })
		}
	}
	pushes.Wait()
}

// servePush receives the events of a peer. Suspected requests are recorded before the response, not only when the planner
// processes the event, because the peer reports the outcome to its caller after the response.
func (e *Entry) servePush(ctx context.Context, m *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	res, err := e.gossip.Push(ctx, m)
	if err != nil {
		return nil, err
	}
	for _, event := range m.GetEvents() {
		if s := event.GetSuspect(); s != nil {
			e.suspects.AddRemote(s)
		}
	}
	return res, nil
}
