package measure

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/queue"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// centralQueue is the reference policy that bounds all others: one queue for all upstreams, with exact knowledge of free
// slots and of the current speed of each upstream. A job goes to the fastest free upstream. Upstreams that refuse
// requests or are permanently more than 4 times slower than normal are not used. network is the round-trip time between
// caller and entry VM; if it is 0, all network delays are 0.
type centralQueue struct {
	sim     *simulation
	network time.Duration
	queue   *queue.Queue
}

func newCentralQueue(sim *simulation, network time.Duration) *centralQueue {
	if network == 0 {
		sim.localDelay = 0
	}
	return &centralQueue{sim: sim, network: network, queue: queue.New(1 << 20)}
}

func (q *centralQueue) arrive(j *job) {
	j.request.Deadline = q.sim.time().Add(j.timeout - q.network/2)
	q.sim.after(q.network/2, func() {
		q.queue.Push(&queue.Item{Request: &j.request, Value: j})
		q.dispatch()
	})
}

func (q *centralQueue) dispatch() {
	for {
		srv := q.fastest()
		if srv == nil {
			return
		}
		next, expired := q.queue.Pop(q.sim.time(), meanWork, func(*queue.Item) bool { return true })
		for _, item := range expired {
			q.sim.end(item.Value.(*job), false)
		}
		if next == nil {
			return
		}
		j := next.Value.(*job)
		srv.run(j, false, func(class upstream.Class) {
			q.sim.after(q.network/2, func() { q.sim.end(j, class == upstream.Answered) })
			q.dispatch()
		})
	}
}

func (q *centralQueue) fastest() *server {
	var best *server
	for _, srv := range q.sim.servers {
		if srv.running < srv.slots && !srv.failing && srv.slow <= 4 && (best == nil || srv.factor() < best.factor()) {
			best = srv
		}
	}
	return best
}
