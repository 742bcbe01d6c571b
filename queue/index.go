package queue

// index implements heap.Interface and records the position of each item, so that any item can be removed.
type index struct {
	items []*Item
	// heapIndex is the index in Item.positions that belongs to this heap.
	heapIndex int
	less      func(a, b *Item) bool
}

func (x *index) Len() int           { return len(x.items) }
func (x *index) Less(i, j int) bool { return x.less(x.items[i], x.items[j]) }

func (x *index) Swap(i, j int) {
	x.items[i], x.items[j] = x.items[j], x.items[i]
	x.items[i].positions[x.heapIndex] = i
	x.items[j].positions[x.heapIndex] = j
}

func (x *index) Push(v any) {
	it := v.(*Item)
	it.positions[x.heapIndex] = len(x.items)
	x.items = append(x.items, it)
}

func (x *index) Pop() any {
	last := len(x.items) - 1
	it := x.items[last]
	x.items[last] = nil
	x.items = x.items[:last]
	return it
}

// servedBefore orders items by weight (high first), then by deadline, then by arrival.
func servedBefore(a, b *Item) bool {
	if a.Request.Weight != b.Request.Weight {
		return a.Request.Weight > b.Request.Weight
	}
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.arrival < b.arrival
}

func displacedBefore(a, b *Item) bool { return servedBefore(b, a) }

func earlierDeadline(a, b *Item) bool {
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.arrival < b.arrival
}
