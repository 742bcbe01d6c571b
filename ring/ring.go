package ring

// Ring is a bounded first-in, first-out buffer for many producers and consumers.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most size items; it panics if size is less than 1.
func New[T any](size int) *Ring[T] {
	if size < 1 {
		panic("ring: size is less than 1")
	}
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds the item if the ring is not full, and reports whether it did. It does not block.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put adds the item, waiting for room until done is closed, and reports whether it was added.
func (r *Ring[T]) Put(done <-chan struct{}, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel to receive items from. It is never closed.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
