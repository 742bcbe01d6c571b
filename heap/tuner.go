package heap

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

const (
	// minPercent is the runtime's own setting, which is kept for a heap that has reached the goal.
	minPercent = 100
	// maxPercent bounds the growth, so that live objects that come suddenly don't exceed the goal by much.
	maxPercent = 400
	// step is the least change of the percentage that is worth the short pause of setting it.
	step = 20
)

// Tuner sets the runtime's garbage collection percentage after each collection.
type Tuner struct {
	goal    uint64
	percent int
	stopped atomic.Bool
	sample  []metrics.Sample
}

// New starts to tune the process's heap towards collections at goal bytes.
func New(goal uint64) *Tuner {
	t := &Tuner{goal: goal, percent: minPercent, sample: []metrics.Sample{{Name: "/gc/heap/live:bytes"}}}
	t.watch()
	return t
}

// Stop ends the tuning; the percentage stays as it is until it is set otherwise.
func (t *Tuner) Stop() {
	t.stopped.Store(true)
}

// watch runs adjust after the next collection, which finds the marker unreachable.
func (t *Tuner) watch() {
	marker := new([16]byte)
	runtime.AddCleanup(marker, (*Tuner).adjust, t)
}

func (t *Tuner) adjust() {
	if t.stopped.Load() {
		return
	}
	metrics.Read(t.sample)
	if p := percent(t.sample[0].Value.Uint64(), t.goal); p-t.percent >= step || t.percent-p >= step {
		debug.SetGCPercent(p)
		t.percent = p
	}
	t.watch()
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
