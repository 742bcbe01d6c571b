package forwarder

import (
	"sync"
	"time"

	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

const (
	// step is the share by which a time above or below the usual one moves it. The usual time settles at the median, which
	// stragglers and slow upstreams don't move.
	step = 0.02
	// calm is the expected time in usual times up to which an upstream counts as undisturbed and not full.
	calm = 1.3
	// assumedShare is the share of a rule's target that a request is taken to last before any has been seen.
	assumedShare = 0.35
	// assumedTime is the same for a rule without a target.
	assumedTime = 100 * time.Millisecond
	// maxTimes bounds the rules whose times are kept.
	maxTimes = 4096
)

// Times learns how long requests of each rule last at undisturbed upstreams. It serves many goroutines.
type Times struct {
	mu  sync.Mutex
	all map[string]time.Duration
}

// NewTimes returns an empty table.
func NewTimes() *Times {
	return &Times{all: make(map[string]time.Duration)}
}

// Usual returns the usual time of the rule's requests.
func (t *Times) Usual(r *ruleset.Rule) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.all[r.Name]; ok {
		return d
	}
	if r.Target > 0 {
		return time.Duration(assumedShare * float64(r.Target))
	}
	return assumedTime
}

// Add takes the time of a request at an upstream with the expected time in usual times; only calm upstreams count.
func (t *Times) Add(r *ruleset.Rule, took time.Duration, expected float64) {
	if expected > calm {
		return
	}
	usual := t.Usual(r)
	if took > usual {
		usual += time.Duration(step * float64(usual))
	} else {
		usual -= time.Duration(step * float64(usual))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.all) >= maxTimes {
		clear(t.all)
	}
	t.all[r.Name] = usual
}
