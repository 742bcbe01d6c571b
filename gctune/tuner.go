package gctune

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

const (
	// minPercent is the runtime's default, which applies to a heap whose live objects have reached the goal.
	minPercent = 100
	// maxPercent bounds the growth, so that a sudden increase of live objects does not exceed the goal by much.
	maxPercent = 400
	// minChange is the smallest change of the percentage that is worth the short pause of setting it.
	minChange = 20
)

// Tuner sets the runtime's garbage collection percentage after each collection.
type Tuner struct {
	goal    uint64
	percent int
	stopped atomic.Bool
	sample  []metrics.Sample
}

// New starts to tune the percentage so that the process's heap is collected at about goal bytes.
func New(goal uint64) *Tuner {
	t := &Tuner{goal: goal, percent: minPercent, sample: []metrics.Sample{{Name: "/gc/heap/live:bytes"}}}
	t.schedule()
	return t
}

// Stop ends the tuning and leaves the percentage as it is.
func (t *Tuner) Stop() {
	t.stopped.Store(true)
}

// schedule runs adjust after the next collection, which finds the marker unreachable.
func (t *Tuner) schedule() {
	marker := new([16]byte)
	runtime.AddCleanup(marker, (*Tuner).adjust, t)
}

func (t *Tuner) adjust() {
	if t.stopped.Load() {
		return
	}
	metrics.Read(t.sample)
	if p := percent(t.sample[0].Value.Uint64(), t.goal); p-t.percent >= minChange || t.percent-p >= minChange {
		debug.SetGCPercent(p)
		t.percent = p
	}
	t.schedule()
}

// percent returns the percentage by which live bytes grow to the goal, within the bounds.
func percent(live, goal uint64) int {
	if live >= goal {
		return minPercent
	}
	if live == 0 {
		return maxPercent
	}
	return int(min(max((goal-live)*100/live, minPercent), maxPercent))
}
