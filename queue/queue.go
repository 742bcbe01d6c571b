package queue

import (
	"container/heap"
	"time"

	"github.com/fulmarhitch/fulmarhitch/request"
)

// Lanes is the number of lanes; Item.Lane is below it.
const Lanes = 8

// Places of an item in the heaps of a queue.
const (
	inLane = iota
	byDeadline
	byLoss
	heaps
)

// Item is a waiting request. An item is in at most one queue at a time.
type Item struct {
	Request  *request.Request
	Enqueued time.Time
	// Lane groups items that are blocked together: if the first item of a lane is not accepted, Pop passes over
	// the whole lane. It is below Lanes.
	Lane int
	// Value belongs to the caller.
	Value any

	arrival uint64
	places  [heaps]int
	queued  bool
}

// Queue is a bounded queue by weight, then earliest deadline.
type Queue struct {
	limit    int
	arrivals uint64
	lanes    [Lanes]index
	deadline index
	loss     index
}

// New returns an empty queue of at most limit items; a limit below 1 counts as 1.
func New(limit int) *Queue {
	q := &Queue{
		limit:    max(limit, 1),
		deadline: index{which: byDeadline, less: sooner},
		loss:     index{which: byLoss, less: after},
	}
	for i := range q.lanes {
		q.lanes[i] = index{which: inLane, less: before}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.deadline.items) }

// SetLimit changes the limit and returns the items that no longer fit.
func (q *Queue) SetLimit(limit int) (displaced []*Item) {
	q.limit = max(limit, 1)
	for q.Len() > q.limit {
		displaced = append(displaced, q.loss.items[0])
		q.Remove(q.loss.items[0])
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
	heap.Push(&q.loss, it)
	if q.Len() <= q.limit {
		return nil
	}
	last := q.loss.items[0]
	q.Remove(last)
	return last
}

// Queued reports whether the item is in a queue.
func (q *Queue) Queued(it *Item) bool { return it.queued }

// Remove takes the item out and reports whether it was queued.
func (q *Queue) Remove(it *Item) bool {
	if !it.queued {
		return false
	}
	it.queued = false
	heap.Remove(&q.lanes[it.Lane], it.places[inLane])
	heap.Remove(&q.deadline, it.places[byDeadline])
	heap.Remove(&q.loss, it.places[byLoss])
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
	var passed [Lanes]bool
	for {
		next = nil
		for i := range q.lanes {
			if !passed[i] && q.lanes[i].Len() > 0 && (next == nil || before(q.lanes[i].items[0], next)) {
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
		passed[next.Lane] = true
	}
}

// Earliest returns the earliest deadline of the queue; ok is false if the queue is empty.
func (q *Queue) Earliest() (deadline time.Time, ok bool) {
	if q.Len() == 0 {
		return time.Time{}, false
	}
	return q.deadline.items[0].Request.Deadline, true
}
