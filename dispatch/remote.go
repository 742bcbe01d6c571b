package dispatch

import (
	"slices"
	"time"
)

// remote is the state of another group's home as known to this home.
type remote struct {
	free, waiting int
	// at is the time at which the report was made.
	at time.Time
	// sent holds the start times of this home's spills in flight.
	sent []time.Time
	// window is the number of spills that may be in flight without a report of free slots. It grows with each spill
	// that ran and shrinks with each refused one.
	window float64
}

const (
	// windowGrowth is added to the window for a spill that ran; windowShrink multiplies it for a refused one. With these
	// values a window of 6 is stable at about one refusal in three. A factor of 0.7 keeps the window too small when
	// demand swings. windowLimit bounds the window.
	windowGrowth = 0.5
	windowShrink = 0.85
	windowLimit  = 64
)

// allowedSpills returns the number of spills that may be added. If this home's group is congested, the window allows
// some without a report of free slots, because reports are too old to show the slots that become free in between.
func (r *remote) allowedSpills(delay time.Duration, congested bool) int {
	n := r.estimate(delay)
	if congested {
		n = max(n, int(max(r.window, 1))-len(r.sent))
	}
	return n
}

// estimate returns the free slots of the report minus this home's spills that arrive after it was made.
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
