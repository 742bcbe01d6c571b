package head

import (
	"container/list"
	"sync"
	"time"
)

const (
	// lineCost is the memory in bytes that a header line takes beside its text. net/http takes some 200 bytes for the entry of the map and
	// the strings; forwarding copies the map and sorts the names.
	lineCost = 400
	// byteCost is the memory taken for each byte of a head: by the names and values, and by the head that is sent to the upstream, whose
	// buffer doubles as it grows.
	byteCost = 6
	// freeCost is the memory of a head that isn't counted, so that ordinary heads pass also when large ones have used up the budget. It
	// stands for a head of 2 KiB with 30 lines. The bound on connections bounds the sum.
	freeCost = 24 << 10
	// stallTime is the time from which on a head that isn't complete may be cut off for another one.
	stallTime = time.Second
)

// Reason tells why a connection was refused, in kebab case.
type Reason string

// Reasons of refusals.
const (
	// TooLarge marks a head above the bound for one head.
	TooLarge Reason = "too-large"
	// NoMemory marks a head for which the budget has no room.
	NoMemory Reason = "no-memory"
	// Stalled marks a head that was not complete for a while when its memory or its connection was needed for another one.
	Stalled Reason = "stalled"
	// TooMany marks a connection above the bound on connections.
	TooMany Reason = "too-many-connections"
)

// Budget bounds the memory of the heads that are read, and of those whose requests are in progress. It is safe for concurrent use.
type Budget struct {
	limit int64
	// onRefusal is called for each connection that is refused.
	onRefusal func(r Reason, address string)

	mu   sync.Mutex
	used int64
	// reading holds the connections with unfinished heads that take a part of the budget, the longest first.
	reading list.List
}

// New returns a budget of limit bytes. The function onRefusal is called with the address of the other side of each connection that is
// refused; it must not block.
func New(limit int64, onRefusal func(r Reason, address string)) *Budget {
	return &Budget{limit: limit, onRefusal: onRefusal}
}

// Used returns the number of bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// hold is the part of the budget that the head of one connection takes.
type hold struct {
	size int64
	// since is the time at which the hold began to take memory.
	since time.Time
	// element is the hold's place among the unfinished heads, or nil.
	element *list.Element
}

// grow brings the hold of the connection to the size. Without room, it takes the memory of heads that have stalled, which are to be cut
// off; if that isn't enough, the verdict is a refusal.
func (b *Budget) grow(c *conn, size int64, now time.Time) (v verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &c.hold
	if size > b.limit {
		return verdict{reason: TooLarge}
	}
	for b.used-h.size+size > b.limit {
		front := b.reading.Front()
		if front == nil || front.Value == any(c) || now.Sub(front.Value.(*conn).hold.since) < stallTime {
			v.reason = NoMemory
			return v
		}
		other := front.Value.(*conn)
		b.free(&other.hold)
		v.stalled = append(v.stalled, other)
	}
	if h.element == nil {
		h.since, h.element = now, b.reading.PushBack(c)
	}
	b.used += size - h.size
	h.size = size
	return v
}

// finish notes that the head of the connection is complete, after which it is not cut off, and sets the size of its hold whether or
// not there is room.
func (b *Budget) finish(h *hold, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(h)
	b.used += size
	h.size = size
}

// release frees the hold.
func (b *Budget) release(h *hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(h)
}

// free frees the hold; it is called with mu locked.
func (b *Budget) free(h *hold) {
	if h.element != nil {
		b.reading.Remove(h.element)
	}
	b.used -= h.size
	h.size, h.element = 0, nil
}
