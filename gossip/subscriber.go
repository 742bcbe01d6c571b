package gossip

import (
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/ring"
)

// ringSize is the number of events that wait for a subscriber before they are merged by key.
const ringSize = 1024

// subscriber delivers events without waiting for the receiver. When the ring is full, an event goes to the overflow,
// where it replaces an earlier one with the same key, so that a slow receiver misses intermediate states but never the
// latest one. The overflow is bounded by the number of keys in the event table and the member table.
type subscriber struct {
	ring     *ring.Ring[*peerpb.Event]
	overflow map[string]*peerpb.Event
	keys     []string // of overflow, in order of arrival
}

func newSubscriber() *subscriber {
	return &subscriber{ring: ring.New[*peerpb.Event](ringSize), overflow: make(map[string]*peerpb.Event)}
}

func (s *subscriber) deliver(e *peerpb.Event) {
	s.flush()
	if len(s.overflow) == 0 && s.ring.Offer(e) {
		return
	}
	key := keyOf(e)
	if _, ok := s.overflow[key]; !ok {
		s.keys = append(s.keys, key)
	}
	s.overflow[key] = e
}

// flush moves events from the overflow into the ring while there is room.
func (s *subscriber) flush() {
	for len(s.keys) > 0 && s.ring.Offer(s.overflow[s.keys[0]]) {
		delete(s.overflow, s.keys[0])
		s.keys = s.keys[1:]
	}
}
