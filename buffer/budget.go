package buffer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// ErrEvicted is the error for a body that was cut off because the budget was used up.
var ErrEvicted = errors.New("memory for bodies is used up")

// Budget bounds the total size of the bodies held. It is safe for concurrent use.
type Budget struct {
	limit int64
	// onEvict is called with the name and the size in bytes of each body that is cut off.
	onEvict func(name string, size int64)

	mu        sync.Mutex
	used      int64
	evictions uint64
	// growing holds the bodies that may be cut off: the unfinished ones and those that are exposed.
	growing map[*Hold]struct{}
	// changed is closed and replaced when bytes are released.
	changed chan struct{}
}

// New returns a budget with the limit in bytes. The function onEvict is called with the name and the size in bytes of each
// body that is cut off.
func New(limit int64, onEvict func(name string, size int64)) *Budget {
	return &Budget{limit: limit, onEvict: onEvict, growing: make(map[*Hold]struct{}), changed: make(chan struct{})}
}

// defaultShare is the divisor of the memory of a process that gives the default limit of its budget.
const defaultShare = 4

// ForProcess returns the budget of a process with the memory in MiB, which logs each body that is cut off. Its limit is bodies in
// MiB, or a quarter of the memory if that is 0.
func ForProcess(memory, bodies int, log *logrus.Entry) *Budget {
	limit := int64(bodies) << 20
	if bodies == 0 {
		limit = int64(memory) << 20 / defaultShare
	}
	return New(limit, func(request string, size int64) {
		log.WithFields(logrus.Fields{"request": request, "bytes": size, "limit": limit}).Warn("memory for bodies is used up; largest unfinished body cut off")
	})
}

// Used returns the number of bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Evictions returns the number of bodies that were cut off.
func (b *Budget) Evictions() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evictions
}

// Hold is the part of the budget that one body takes.
type Hold struct {
	budget *Budget
	name   string
	// interrupt ends the read of the body; it must not block.
	interrupt func()
	size      int64
	evicted   bool
	// complete is true once the whole body has been read; the hold is about to be closed.
	complete bool
}

// Open returns an empty hold for an unfinished body, whose name is used in logs. The function interrupt must end the read of
// the body without blocking, and isn't called once Read has returned the body or Close has been called. Close has to be called
// in any case.
func (b *Budget) Open(name string, interrupt func()) *Hold {
	h := &Hold{budget: b, name: name, interrupt: interrupt}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.growing[h] = struct{}{}
	return h
}

// Take returns a hold of n bytes for a complete body, which is not cut off unless it is exposed.
func (b *Budget) Take(n int64) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += n
	return &Hold{budget: b, size: n}
}

// Expose lets the complete body of a hold from Take be cut off like an unfinished one, because it is held for longer than usual. Its name
// is used in logs, and the function interrupt must end its use without blocking. Close may have been called before.
func (h *Hold) Expose(name string, interrupt func()) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.size > 0 {
		h.name, h.interrupt = name, interrupt
		b.growing[h] = struct{}{}
	}
}

// Grow adds n bytes to the hold of an unfinished body. If the budget is used up, the largest unfinished body is cut off,
// which may be this one; the call then returns ErrEvicted. Otherwise it waits for the memory of the other one.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	for {
		evicted, changed, err := h.tryGrow(n)
		if evicted != nil {
			h.budget.onEvict(evicted.name, evicted.size)
		}
		if err != nil || changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// eviction describes a body that was cut off.
type eviction struct {
	name string
	size int64
}

// tryGrow adds the bytes if there is room. Otherwise it cuts off a body if a further one has to be, and returns a channel to
// wait on, or the error if that body is this one.
func (h *Hold) tryGrow(n int64) (evicted *eviction, changed <-chan struct{}, err error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return nil, nil, ErrEvicted
	}
	if b.used+n <= b.limit {
		b.used += n
		h.size += n
		return nil, nil, nil
	}
	// freeing is the number of bytes of bodies that were cut off or are complete, and are about to be released.
	largest, largestSize, freeing := h, h.size+n, int64(0)
	for other := range b.growing {
		switch {
		case other.evicted, other.complete:
			freeing += other.size
		case other.size > largestSize:
			largest, largestSize = other, other.size
		}
	}
	if b.used+n-freeing <= b.limit {
		return nil, b.changed, nil
	}
	b.evictions++
	largest.evicted = true
	evicted = &eviction{largest.name, largest.size}
	if largest == h {
		return evicted, nil, errors.Wrapf(ErrEvicted, "after %d bytes", h.size)
	}
	// The lock keeps the other body from being closed meanwhile, after which its connection may serve another request.
	largest.interrupt()
	return evicted, b.changed, nil
}

// finish notes that the whole body has been read, after which it is not cut off. It returns ErrEvicted if it was before.
func (h *Hold) finish() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	h.complete = true
	return nil
}

// mark marks an error of the read of the body as ErrEvicted if the body was cut off.
func (h *Hold) mark(err error) error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.evicted {
		return errors.Mark(err, ErrEvicted)
	}
	return err
}

// Close releases the hold; further calls do nothing.
func (h *Hold) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.growing, h)
	if h.size > 0 {
		b.used -= h.size
		h.size = 0
		close(b.changed)
		b.changed = make(chan struct{})
	}
}
