package gossip

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

const (
	// maxPiggyback and maxPiggybackBytes bound the number and the total size of the events on a ping.
	maxPiggyback      = 24
	maxPiggybackBytes = 1200
	// retransmitFactor times log10 of the fleet's size, rounded up, is the number of messages on which a VM sends an
	// event. At 200 VMs it is 12, which takes a VM about 3 s.
	retransmitFactor = 4
	// maxPending bounds the events that wait for pings; dropped events still spread by pushes and comparisons.
	maxPending = 1024
)

// broadcast is an event to be piggybacked on pings.
type broadcast struct {
	key   string
	event *peerpb.Event
}

// broadcasts holds the events to be piggybacked on pings, one for each key. Stack i holds the events that were sent i
// times; replaced events are removed from a stack only when they are reached or by compact.
type broadcasts struct {
	pending map[string]*broadcast
	stacks  [][]*broadcast
	stacked int // entries in all stacks, replaced ones included
}

func (b *broadcasts) add(e *peerpb.Event) {
	item := &broadcast{key: keyOf(e), event: e}
	b.pending[item.key] = item
	b.put(0, item)
	if b.stacked > 2*maxPending || len(b.pending) > maxPending {
		b.compact()
	}
}

func (b *broadcasts) put(sent int, item *broadcast) {
	for len(b.stacks) <= sent {
		b.stacks = append(b.stacks, nil)
	}
	b.stacks[sent] = append(b.stacks[sent], item)
	b.stacked++
}

// compact drops replaced events and, if more than maxPending/2 events remain, those that were sent most.
func (b *broadcasts) compact() {
	old := b.stacks
	b.stacks, b.stacked = nil, 0
	for sent, stack := range old {
		kept := stack[:0]
		for _, item := range stack {
			if b.pending[item.key] == item {
				kept = append(kept, item)
			}
		}
		drop := max(0, len(kept)-(maxPending/2-b.stacked))
		for _, item := range kept[:drop] {
			delete(b.pending, item.key)
		}
		for _, item := range kept[drop:] {
			b.put(sent, item)
		}
	}
}

// take selects the events for one message in a fleet of n VMs: those sent least often and, among these, the newest. It
// drops an event once it has been sent as often as retransmitFactor allows.
func (b *broadcasts) take(n int) []*peerpb.Event {
	maxSent := retransmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
	type sentBroadcast struct {
		*broadcast
		sent int
	}
	var taken []sentBroadcast
	bytes := 0
	for sent := range b.stacks {
		for stack := b.stacks[sent]; len(stack) > 0 && len(taken) < maxPiggyback; stack = b.stacks[sent] {
			item := stack[len(stack)-1]
			if b.pending[item.key] == item {
				if bytes += proto.Size(item.event); bytes > maxPiggybackBytes {
					break
				}
				taken = append(taken, sentBroadcast{item, sent + 1})
			}
			b.stacks[sent] = stack[:len(stack)-1]
			b.stacked--
		}
		if bytes > maxPiggybackBytes {
			break
		}
	}
	events := make([]*peerpb.Event, 0, len(taken))
	for i := len(taken) - 1; i >= 0; i-- {
		events = append(events, taken[i].event)
		if taken[i].sent < maxSent {
			b.put(taken[i].sent, taken[i].broadcast)
		} else {
			delete(b.pending, taken[i].key)
		}
	}
	return events
}
