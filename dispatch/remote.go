package dispatch

import (
	"slices"
	"time"
)

// remote is what a home knows of the home of another group.
type remote struct {
	free, waiting int
	// at is the time at which the report was made.
	at time.Time
	// sent are the times of the own spills under way.
	sent []time.Time
	// window is the number of spills that may be under way without a report of free slots. It grows with spills
	// that ran and shrinks with refused ones.
	window float64
}

const (
	// windowGrowth is added for a spill that ran, windowShrink is the factor for a refused one. A window of 6 then
	// settles at about one refusal in three. With a factor of 0.7 it stayed too small for swings of demand.
	windowGrowth = 0.5
	windowShrink = 0.85
	windowLimit  = 64
)

// room returns the number of further spills. If the own group is pressed, the window allows some without a report of
// free slots, because reports are too old to show the slots that become free in between.
func (r *remote) room(delay time.Duration, pressed bool) int {
	n := r.estimate(delay)
	if pressed {
		n = max(n, int(max(r.window, 1))-len(r.sent))
	}
	return n
}

// estimate returns the free slots of the report less the own spills that arrive after it was made.
func (r *remote) estimate(delay time.Duration) int {
	free := r.free
	for _, t := range r.sent {
		if t.Add(delay).After(r.at) {
			free--
		}
	}
	return free
}

func (r *remote) report(free, waiting int, at time.Time) {
	if at.Before(r.at) {
		return
	}
	r.free, r.waiting, r.at = free, waiting, at
}

func (r *remote) end(sent time.Time, refused bool) {
	if i := slices.IndexFunc(r.sent, sent.Equal); i >= 0 {
		r.sent = slices.Delete(r.sent, i, i+1)
	}
	if refused {
		r.free = 0
		r.window = max(r.window*windowShrink, 1)
		return
	}
	r.window = min(max(r.window, 1)+windowGrowth, windowLimit)
}
