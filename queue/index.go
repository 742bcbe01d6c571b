package queue

// index is a heap of items that remembers the place of each item, for container/heap.
type index struct {
	items []*Item
	// which selects the field of Item.places that belongs to this heap.
	which int
	less  func(a, b *Item) bool
}

func (x *index) Len() int           { return len(x.items) }
func (x *index) Less(i, j int) bool { return x.less(x.items[i], x.items[j]) }

func (x *index) Swap(i, j int) {
	x.items[i], x.items[j] = x.items[j], x.items[i]
	x.items[i].places[x.which] = i
	x.items[j].places[x.which] = j
}

func (x *index) Push(v any) {
	it := v.(*Item)
	it.places[x.which] = len(x.items)
	x.items = append(x.items, it)
}

func (x *index) Pop() any {
	last := len(x.items) - 1
	it := x.items[last]
	x.items[last] = nil
	x.items = x.items[:last]
	return it
}

// before orders items by weight (high first), then by deadline, then by arrival.
func before(a, b *Item) bool {
	if a.Request.Weight != b.Request.Weight {
		return a.Request.Weight > b.Request.Weight
	}
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.arrival < b.arrival
}

func after(a, b *Item) bool { return before(b, a) }

func sooner(a, b *Item) bool {
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.arrival < b.arrival
}
