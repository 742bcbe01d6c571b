package gossip

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

const (
	// maxPiggyback and maxPiggybackBytes bound the events on a ping.
	maxPiggyback      = 24
	maxPiggybackBytes = 1200
	// retransmitFactor times log10 of the fleet's size, rounded up, is how often a VM sends an event on pings.
	// At 200 VMs that is 12 messages, which a VM sends in about 3 s.
	retransmitFactor = 4
	// maxWaiting bounds the events that wait for pings; pushes and comparisons carry what is dropped.
	maxWaiting = 1024
)

type broadcast struct {
	key   string
	event *peerpb.Event
}

// broadcasts are the events that pings still carry, one for each key, in one stack for each number of messages that
// carried them. A stack may hold replaced events until they are reached.
type broadcasts struct {
	waiting map[string]*broadcast
	stacks  [][]*broadcast
	stacked int
}

func (b *broadcasts) add(e *peerpb.Event) {
	w := &broadcast{key: keyOf(e), event: e}
	b.waiting[w.key] = w
	b.put(0, w)
	if b.stacked > 2*maxWaiting || len(b.waiting) > maxWaiting {
		b.compact()
	}
}

func (b *broadcasts) put(sent int, w *broadcast) {
	for len(b.stacks) <= sent {
		b.stacks = append(b.stacks, nil)
	}
	b.stacks[sent] = append(b.stacks[sent], w)
	b.stacked++
}

// compact drops replaced events, and the events that were sent most if more than half of the bound wait.
func (b *broadcasts) compact() {
	old := b.stacks
	b.stacks, b.stacked = nil, 0
	for sent, stack := range old {
		kept := stack[:0]
		for _, w := range stack {
			if b.waiting[w.key] == w {
				kept = append(kept, w)
			}
		}
		drop := max(0, len(kept)-(maxWaiting/2-b.stacked))
		for _, w := range kept[:drop] {
			delete(b.waiting, w.key)
		}
		for _, w := range kept[drop:] {
			b.put(sent, w)
		}
	}
}

// take returns the events for one message to a fleet of n VMs, the least sent first and of those the newest.
func (b *broadcasts) take(n int) []*peerpb.Event {
	limit := retransmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
	type carried struct {
		*broadcast
		sent int
	}
	var taken []carried
	bytes := 0
	for sent := range b.stacks {
		for stack := b.stacks[sent]; len(stack) > 0 && len(taken) < maxPiggyback; stack = b.stacks[sent] {
			w := stack[len(stack)-1]
			if b.waiting[w.key] == w {
				if bytes += proto.Size(w.event); bytes > maxPiggybackBytes {
					break
				}
				taken = append(taken, carried{w, sent + 1})
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
		if taken[i].sent < limit {
			b.put(taken[i].sent, taken[i].broadcast)
		} else {
			delete(b.waiting, taken[i].key)
		}
	}
	return events
}
