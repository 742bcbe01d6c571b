package measure

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual times.
type clock struct {
	now    time.Duration
	events events
	count  uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return v
}

// after runs f once the delay has passed.
func (c *clock) after(delay time.Duration, f func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now + max(delay, 0), order: c.count, run: f})
}

// run runs events until the end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// time returns the virtual time as the decision code sees it.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

var epoch = time.Unix(1_000_000_000, 0)
