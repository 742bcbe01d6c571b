package measure

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs events in the order of their times.
type clock struct {
	now       time.Duration
	events    events
	scheduled uint64
}

type event struct {
	at time.Duration
	// seq is the order of scheduling, in which events of the same time run.
	seq uint64
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return v
}

// after schedules f to run after the delay.
func (c *clock) after(delay time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: c.now + max(delay, 0), seq: c.scheduled, run: f})
}

// run runs all events up to the time end, inclusive.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// time returns the virtual time as a time.Time, for the code under measurement.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

var epoch = time.Unix(1_000_000_000, 0)
