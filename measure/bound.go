package measure

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/queue"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// bound is the central queue with exact knowledge of free slots and of the momentary speed of each upstream. It uses
// the fastest free upstream and none that refuses or is more than 4 times slow for good. network is the round trip
// between caller and entry VM; if it is 0, nothing spends time on the network.
type bound struct {
	world   *world
	network time.Duration
	queue   *queue.Queue
}

func newBound(w *world, network time.Duration) *bound {
	if network == 0 {
		w.local = 0
	}
	return &bound{world: w, network: network, queue: queue.New(1 << 20)}
}

func (b *bound) arrive(j *job) {
	j.request.Deadline = b.world.time().Add(j.timeout - b.network/2)
	b.world.after(b.network/2, func() {
		b.queue.Push(&queue.Item{Request: &j.request, Value: j})
		b.settle()
	})
}

func (b *bound) settle() {
	for {
		v := b.fastest()
		if v == nil {
			return
		}
		next, expired := b.queue.Pop(b.world.time(), meanWork, func(*queue.Item) bool { return true })
		for _, it := range expired {
			b.world.end(it.Value.(*job), false)
		}
		if next == nil {
			return
		}
		j := next.Value.(*job)
		v.run(j, false, func(c upstream.Class) {
			b.world.after(b.network/2, func() { b.world.end(j, c == upstream.Answered) })
			b.settle()
		})
	}
}

func (b *bound) fastest() *server {
	var best *server
	for _, v := range b.world.servers {
		if v.running < v.slots && !v.failing && v.slow <= 4 && (best == nil || v.factor() < best.factor()) {
			best = v
		}
	}
	return best
}
