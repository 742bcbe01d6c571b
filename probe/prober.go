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
	// PerSecond is the budget of probes to the upstream over all entry VMs.
	PerSecond float64
	// EntryVMs is the highest number of entry VMs.
	EntryVMs int
}

// Fleet is this VM's view of the entry VMs.
type Fleet struct {
	// Rank is the place of this VM among the known VMs in the order of their names, from 0.
	Rank int
	// Known is the number of known VMs, with this one.
	Known int
}

// Options are the functions that a prober works with.
type Options struct {
	// Targets returns the upstreams that need a probe now. Names of upstreams are unique within a service. A list that is
	// returned again must not have been changed.
	Targets func(now time.Time) []Target
	// Fleet returns the present view of the entry VMs.
	Fleet func() Fleet
	// Check asks one upstream for its state; it must send at most one request.
	Check func(ctx context.Context, t Target) (state string, err error)
	// Observe receives the state, or the error if the upstream gave none. It is called from several goroutines.
	Observe func(t Target, state string, err error)
	// Log receives errors.
	Log logrus.FieldLogger
}

const (
	// leastTick and mostTick bound the time between two rounds. Each round wakes the process, which costs more than the
	// round itself.
	leastTick, mostTick = 20 * time.Millisecond, 250 * time.Millisecond
	// ticksPerHalf is the number of rounds in the half of a slot that may be used, so that none is missed.
	ticksPerHalf = 3
	// checkTimeout bounds one probe, whose cost is about 6 ms.
	checkTimeout = time.Second
)

type upstream struct {
	service, name string
}

// Prober is the duty that sends probes within this VM's share. It is a service of the kernel.
type Prober struct {
	options Options
	cancel  context.CancelFunc
	checks  sync.WaitGroup
	// last is the list of targets of the last round.
	last []Target

	mu     sync.Mutex
	shares map[upstream]*share
	excess bool
}

// New returns a prober that doesn't run yet.
func New(o Options) *Prober {
	return &Prober{options: o, shares: make(map[upstream]*share)}
}

// Start starts the duty.
func (p *Prober) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.checks.Go(func() { p.run(ctx) })
	return nil
}

// Stop ends the duty and the probes that it sent.
func (p *Prober) Stop(context.Context) error {
	p.cancel()
	p.checks.Wait()
	return nil
}

func (p *Prober) run(ctx context.Context) {
	t := time.NewTimer(mostTick)
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

// interval returns the time until the next round, which is short enough for the shortest half slot of the targets.
func interval(targets []Target) time.Duration {
	next := mostTick
	for _, t := range targets {
		if t.PerSecond > 0 {
			next = min(next, time.Duration(float64(time.Second)/t.PerSecond/ticksPerHalf))
		}
	}
	return max(next, leastTick)
}

// round starts the probes that are granted now and returns the time until the next round. The time is read after the targets are known, so that a pause before
// doesn't spend an old slot.
func (p *Prober) round(ctx context.Context) time.Duration {
	targets := p.options.Targets(time.Now())
	fleet := p.options.Fleet()
	// Each new list is gone through whole, so that new shares begin in time. After that only the targets in whose slots
	// this VM is matter; with 3,000 targets, the rest would take several percent of a core.
	fresh := !isSame(targets, p.last)
	p.last = targets
	for _, t := range targets {
		if !fresh && !inSlot(t.PerSecond, t.EntryVMs, fleet.Rank, time.Now()) {
			continue
		}
		if s := p.grant(t, fleet, time.Now()); s != nil {
			p.checks.Go(func() { p.check(ctx, t, s) })
		}
	}
	return interval(targets)
}

// isSame tells whether both are one list.
func isSame(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// grant returns the share that a probe of the target was taken from, or nil. Shares are kept while the process runs,
// because a forgotten share would forget its last probe.
func (p *Prober) grant(t Target, f Fleet, now time.Time) *share {
	if t.PerSecond <= 0 || t.EntryVMs < 1 || p.isExcess(t, f) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := upstream{t.Service, t.Upstream}
	s := p.shares[id]
	if s == nil {
		s = newShare(t.PerSecond, t.EntryVMs, now)
		p.shares[id] = s
	}
	if !s.busy && (s.perSecond != t.PerSecond || s.vms != t.EntryVMs) {
		*s = *newShare(t.PerSecond, t.EntryVMs, now)
	}
	if !s.take(f.Rank, now) {
		return nil
	}
	s.busy = true
	return s
}

// isExcess tells whether more VMs are known than the budget was split for, and logs the change.
func (p *Prober) isExcess(t Target, f Fleet) bool {
	excess := f.Known > t.EntryVMs
	p.mu.Lock()
	changed := excess != p.excess
	p.excess = excess
	p.mu.Unlock()
	if excess && changed {
		p.options.Log.WithField("known", f.Known).WithField("max-entry-vms", t.EntryVMs).
			Error("more entry VMs than the limit; no probes are sent")
	}
	return excess
}

func (p *Prober) check(ctx context.Context, t Target, s *share) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	state, err := p.options.Check(ctx, t)
	p.mu.Lock()
	s.empty(time.Now())
	s.busy = false
	p.mu.Unlock()
	p.options.Observe(t, state, err)
}
