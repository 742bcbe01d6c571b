package queue

import (
	"container/heap"
	"time"

	"github.com/fulmarhitch/fulmarhitch/request"
)

// Lanes is the number of lanes of a queue.
const Lanes = 8

// Indexes in Item.positions, one for each heap of a queue that holds the item.
const (
	inLane = iota
	byDeadline
	byDisplacement
	heapCount
)

// Item is a waiting request. An item is in at most one queue at a time.
type Item struct {
	Request  *request.Request
	Enqueued time.Time
	// Lane groups items that are blocked together: if the first item of a lane is not accepted, Pop skips the
	// whole lane. It is at least 0 and below Lanes.
	Lane int
	// Value is for the caller's use; a Queue does not read it.
	Value any

	arrival   uint64
	positions [heapCount]int
	queued    bool
}

// Queue is a bounded queue ordered by weight, then earliest deadline.
type Queue struct {
	limit        int
	arrivals     uint64
	lanes        [Lanes]index
	deadline     index
	displacement index
}

// New returns an empty queue of at most limit items; a limit below 1 counts as 1.
func New(limit int) *Queue {
	q := &Queue{
		limit:        max(limit, 1),
		deadline:     index{heapIndex: byDeadline, less: earlierDeadline},
		displacement: index{heapIndex: byDisplacement, less: displacedBefore},
	}
	for i := range q.lanes {
		q.lanes[i] = index{heapIndex: inLane, less: servedBefore}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.deadline.items) }

// SetLimit changes the limit, and removes and returns the items that exceed it.
func (q *Queue) SetLimit(limit int) (displaced []*Item) {
	q.limit = max(limit, 1)
	for q.Len() > q.limit {
		displaced = append(displaced, q.displacement.items[0])
		q.Remove(q.displacement.items[0])
	}
	return displaced
}

// Push adds the item. If the queue is above its limit afterwards, Push removes and returns the item with the lowest
// weight and, within it, the latest deadline, which may be the new item itself.
func (q *Queue) Push(it *Item) (displaced *Item) {
	q.arrivals++
	it.arrival = q.arrivals
	it.queued = true
	heap.Push(&q.lanes[it.Lane], it)
	heap.Push(&q.deadline, it)
	heap.Push(&q.displacement, it)
	if q.Len() <= q.limit {
		return nil
	}
	last := q.displacement.items[0]
	q.Remove(last)
	return last
}

// Queued reports whether the item is in a queue.
func (q *Queue) Queued(it *Item) bool { return it.queued }

// Remove removes the item and reports whether it was queued.
func (q *Queue) Remove(it *Item) bool {
	if !it.queued {
		return false
	}
	it.queued = false
	heap.Remove(&q.lanes[it.Lane], it.positions[inLane])
	heap.Remove(&q.deadline, it.positions[byDeadline])
	heap.Remove(&q.displacement, it.positions[byDisplacement])
	return true
}

// Expire removes and returns all items that can't be answered by their deadline if they need the given time.
func (q *Queue) Expire(now time.Time, need time.Duration) (expired []*Item) {
	end := now.Add(need)
	for q.Len() > 0 && end.After(q.deadline.items[0].Request.Deadline) {
		expired = append(expired, q.deadline.items[0])
		q.Remove(q.deadline.items[0])
	}
	return expired
}

// Pop removes the expired items, then the first item that accept accepts; next is nil if there is none. accept is
// called with the first item of each lane, in order, until it returns true.
func (q *Queue) Pop(now time.Time, need time.Duration, accept func(*Item) bool) (next *Item, expired []*Item) {
	expired = q.Expire(now, need)
	var blocked [Lanes]bool
	for {
		next = nil
		for i := range q.lanes {
			if !blocked[i] && q.lanes[i].Len() > 0 && (next == nil || servedBefore(q.lanes[i].items[0], next)) {
				next = q.lanes[i].items[0]
			}
		}
		if next == nil {
			return nil, expired
		}
		if accept(next) {
			q.Remove(next)
			return next, expired
		}
		blocked[next.Lane] = true
	}
}

// Earliest returns the earliest deadline of the queue; ok is false if the queue is empty.
func (q *Queue) Earliest() (deadline time.Time, ok bool) {
	if q.Len() == 0 {
		return time.Time{}, false
	}
	return q.deadline.items[0].Request.Deadline, true
}
