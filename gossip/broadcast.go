package gossip

import (
	"cmp"
	"math"
	"slices"

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
)

type broadcast struct {
	key   string
	event *peerpb.Event
	sent  int
	order int
}

// broadcasts are the events that pings still carry, one for each key.
type broadcasts struct {
	waiting map[string]*broadcast
	order   int
}

func (b *broadcasts) add(e *peerpb.Event) {
	b.order++
	key := keyOf(e)
	b.waiting[key] = &broadcast{key: key, event: e, order: b.order}
}

// take returns the events for one message to a fleet of n VMs, the least sent first and of those the newest.
func (b *broadcasts) take(n int) []*peerpb.Event {
	if len(b.waiting) == 0 {
		return nil
	}
	all := make([]*broadcast, 0, len(b.waiting))
	for _, w := range b.waiting {
		all = append(all, w)
	}
	slices.SortFunc(all, func(x, y *broadcast) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(y.order, x.order))
	})
	limit := retransmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
	var events []*peerpb.Event
	bytes := 0
	for _, w := range all {
		size := proto.Size(w.event)
		if len(events) == maxPiggyback || bytes+size > maxPiggybackBytes {
			break
		}
		events = append(events, w.event)
		bytes += size
		if w.sent++; w.sent >= limit {
			delete(b.waiting, w.key)
		}
	}
	return events
}
