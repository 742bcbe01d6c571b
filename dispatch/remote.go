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
	}
}
