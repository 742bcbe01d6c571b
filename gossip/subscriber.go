package gossip

import (
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/ring"
)

// ringSize is the number of events that wait for a subscriber before they are merged by key.
const ringSize = 1024

// subscriber delivers events without waiting for their receiver. When the ring is full, an event is kept aside under
// its key and replaces an earlier one, so that a slow receiver misses states in between but never the latest one.
// The events kept aside are bounded by the keys that the log and the member table hold.
type subscriber struct {
	ring   *ring.Ring[*peerpb.Event]
	missed map[string]*peerpb.Event
	keys   []string // of missed, in order
}

func newSubscriber() *subscriber {
	return &subscriber{ring: ring.New[*peerpb.Event](ringSize), missed: make(map[string]*peerpb.Event)}
}

func (s *subscriber) deliver(e *peerpb.Event) {
	s.flush()
	if len(s.missed) == 0 && s.ring.Offer(e) {
		return
	}
	key := keyOf(e)
	if _, ok := s.missed[key]; !ok {
		s.keys = append(s.keys, key)
	}
	s.missed[key] = e
}

// flush moves events that were kept aside into the ring as far as there is room.
func (s *subscriber) flush() {
	for len(s.keys) > 0 && s.ring.Offer(s.missed[s.keys[0]]) {
		delete(s.missed, s.keys[0])
		s.keys = s.keys[1:]
	}
}
