package server

import (
	"fmt"
	"time"
)

// State is the state that a stand-in reports.
type State string

// States that a stand-in reports.
const (
	// Ready runs requests at normal speed.
	Ready State = "ready"
	// Cold runs requests more slowly than normal after a start.
	Cold State = "cold"
	// Draining refuses new requests and finishes those that run or wait.
	Draining State = "draining"
	// Failing answers every request with an error.
	Failing State = "failing"
)

// Load is the number of requests that run and wait, and the number of slots.
type Load struct {
	Running, Waiting, Slots int
}

// String returns the load as the Upstream-Load header carries it.
func (l Load) String() string {
	return fmt.Sprintf("running=%d waiting=%d slots=%d", l.Running, l.Waiting, l.Slots)
}

type snapshot struct {
	at    time.Time
	load  Load
	state State
}

// maxLag bounds the history from which delayed load and state reports are taken.
const maxLag = 10 * time.Second

// history holds past loads and states, oldest first.
type history []snapshot

func (h history) add(s snapshot) history {
	drop := 0
	for drop+1 < len(h) && s.at.Sub(h[drop+1].at) > maxLag {
		drop++
	}
	return append(h[drop:], s)
}

// before returns the newest snapshot that is at least lag old, or the oldest snapshot if there is none.
func (h history) before(now time.Time, lag time.Duration) snapshot {
	for i := len(h) - 1; i > 0; i-- {
		if now.Sub(h[i].at) >= lag {
			return h[i]
		}
	}
	return h[0]
}
