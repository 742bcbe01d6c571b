package probe

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Target is an upstream that needs a probe.
type Target struct {
	Service, Upstream, Address string
	// PerSecond is the budget for probes to the upstream from all entry VMs together.
	PerSecond float64
	// EntryVMs is the highest number of entry VMs.
	EntryVMs int
}

// Fleet is this VM's view of the entry VMs.
type Fleet struct {
	// Rank is the index of this VM among the known VMs sorted by name.
	Rank int
	// Known is the number of known VMs, including this one.
	Known int
}

// Options holds the functions and the log that a Prober uses.
type Options struct {
	// Targets returns the upstreams that need a probe now. Names of upstreams are unique within a service. A slice that
	// is returned more than once must not be modified in between.
	Targets func(now time.Time) []Target
	// Fleet returns the current view of the entry VMs.
	Fleet func() Fleet
	// Check requests the state of one upstream. It must send at most one request.
	Check func(ctx context.Context, t Target) (state string, err error)
	// Observe receives the result of Check. It is called from several goroutines.
	Observe func(t Target, state string, err error)
	// Log receives errors.
	Log logrus.FieldLogger
}

const (
	// minInterval and maxInterval bound the time between two rounds. Waking the process for a round costs more than the
	// round itself.
	minInterval, maxInterval = 20 * time.Millisecond, 250 * time.Millisecond
	// roundsPerHalfSlot is the number of rounds in the usable half of a slot, so that no slot is missed.
	roundsPerHalfSlot = 3
	// checkTimeout bounds one probe, whose cost is about 6 ms.
	checkTimeout = time.Second
)

type upstreamKey struct {
	service, name string
}

// Prober is the worker that sends probes within this VM's share of the budget. It is a service of the kernel.
type Prober struct {
	options Options
	cancel  context.CancelFunc
	// running counts the worker and the probes in progress.
	running sync.WaitGroup
	// lastTargets are the targets of the last round.
	lastTargets []Target

	mu     sync.Mutex
	shares map[upstreamKey]*share
	// overLimit is set while more entry VMs are known than the limit.
	overLimit bool
}

// New returns a prober that has not started.
func New(o Options) *Prober {
	return &Prober{options: o, shares: make(map[upstreamKey]*share)}
}

// Start starts the worker.
func (p *Prober) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.run(ctx) })
	return nil
}

// Stop stops the worker, cancels its probes and waits for them.
func (p *Prober) Stop(context.Context) error {
	p.cancel()
	p.running.Wait()
	return nil
}

func (p *Prober) run(ctx context.Context) {
	t := time.NewTimer(maxInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			t.Reset(p.round(ctx))
		case <-ctx.Done():
			return
		}
	}
}

// interval returns the time until the next round, which is short enough for the shortest half slot of the targets unless
// minInterval is longer.
func interval(targets []Target) time.Duration {
	next := maxInterval
	for _, t := range targets {
		if t.PerSecond > 0 {
			next = min(next, time.Duration(float64(time.Second)/t.PerSecond/roundsPerHalfSlot))
		}
	}
	return max(next, minInterval)
}

// round starts the probes that are granted now and returns the time until the next round. The clock is read after the
// targets are known, so that no probe is granted for a slot that ended in a pause of the process before that.
func (p *Prober) round(ctx context.Context) time.Duration {
	targets := p.options.Targets(time.Now())
	fleet := p.options.Fleet()
	// All targets of a new list are visited, so that new shares start in time. Otherwise only the targets whose slot
	// belongs to this VM now are visited; with 3,000 targets, the others would take several percent of a core.
	changed := !isSame(targets, p.lastTargets)
	p.lastTargets = targets
	for _, t := range targets {
		if !changed && !inSlot(t.PerSecond, t.EntryVMs, fleet.Rank, time.Now()) {
			continue
		}
		if s := p.grant(t, fleet, time.Now()); s != nil {
			p.running.Go(func() { p.check(ctx, t, s) })
		}
	}
	return interval(targets)
}

// isSame reports whether a and b are the same slice.
func isSame(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// grant returns the share that a probe of the target was taken from, or nil if none is allowed. Shares are never removed,
// because the time of the last probe would be lost with a share.
func (p *Prober) grant(t Target, f Fleet, now time.Time) *share {
	if t.PerSecond <= 0 || t.EntryVMs < 1 || p.exceedsLimit(t, f) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := upstreamKey{t.Service, t.Upstream}
	s := p.shares[key]
	if s == nil {
		s = newShare(t.PerSecond, t.EntryVMs, now)
		p.shares[key] = s
	}
	if !s.busy && (s.perSecond != t.PerSecond || s.vms != t.EntryVMs) {
		*s = *newShare(t.PerSecond, t.EntryVMs, now)
	}
	if !s.allow(f.Rank, now) {
		return nil
	}
	s.busy = true
	return s
}

// exceedsLimit reports whether more VMs are known than the budget was divided by, and logs when this becomes true.
func (p *Prober) exceedsLimit(t Target, f Fleet) bool {
	overLimit := f.Known > t.EntryVMs
	p.mu.Lock()
	changed := overLimit != p.overLimit
	p.overLimit = overLimit
	p.mu.Unlock()
	if overLimit && changed {
		p.options.Log.WithField("known", f.Known).WithField("max-entry-vms", t.EntryVMs).
			Error("more entry VMs than the limit; no probes are sent")
	}
	return overLimit
}

// check probes the target, whose share is s, and passes on the result.
func (p *Prober) check(ctx context.Context, t Target, s *share) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	state, err := p.options.Check(ctx, t)
	p.mu.Lock()
	s.restartGap(time.Now())
	s.busy = false
	p.mu.Unlock()
	p.options.Observe(t, state, err)
}
