package entry

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/group"
	"github.com/fulmarhitch/fulmarhitch/kernel"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/probe"
	"github.com/fulmarhitch/fulmarhitch/stateconv"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// targetsTTL is how long a list of probe targets is reused. The prober requests the list 50 times a second, and
// scanning 3,000 upstreams each time would exceed the 1 % of a core that control functions may use.
const targetsTTL = 500 * time.Millisecond

// publish sends the state of an upstream to the peers.
func (e *Entry) publish(service, name string, s upstream.State) {
	e.gossip.Publish(stateconv.Event(service, name, s))
}

func (e *Entry) newProber() kernel.Service {
	var targets []probe.Target
	var listedAt time.Time
	return probe.New(probe.Options{
		Targets: func(now time.Time) []probe.Target {
			if now.Sub(listedAt) > targetsTTL {
				targets, listedAt = e.targets(now), now
			}
			return targets
		},
		Fleet: e.fleet, Check: e.checkUpstream, Observe: e.recordProbe, Log: e.log,
	})
}

// targets returns the upstreams that this VM should probe. A VM that is not ready probes nothing, because it may exceed
// the fleet's maximum of entry VMs; neither does a process that a newer one with the same name has replaced.
func (e *Entry) targets(now time.Time) []probe.Target {
	p := e.router.Plan()
	if p == nil || !e.readiness.ready.Load() || e.gossip.Replaced() {
		return nil
	}
	var all []probe.Target
	for _, g := range p.Groups() {
		for _, u := range g.Upstreams {
			if e.groups.ProbeWanted(g, u, now) {
				all = append(all, probe.Target{Service: g.Service.Name, Upstream: u.Name, Address: u.Address,
					PerSecond: g.Service.ProbesPerSecond, EntryVMs: p.Declaration.MaxEntryVMs})
			}
		}
	}
	return all
}

// fleet returns this VM's rank among the live entry VMs and their number.
func (e *Entry) fleet() probe.Fleet {
	live := e.gossip.Live()
	rank := slices.IndexFunc(live, func(m member.Member) bool { return m.Name == e.self.Name })
	return probe.Fleet{Rank: max(rank, 0), Known: len(live)}
}

// checkUpstream sends one probe to the upstream's health endpoint.
func (e *Entry) checkUpstream(ctx context.Context, t probe.Target) (string, error) {
	e.metrics.Probe()
	state, err := e.exchange.Health(ctx, t.Service, declaration.Upstream{Name: t.Upstream, Address: t.Address})
	return string(state), err
}

// recordProbe records the result of a probe.
func (e *Entry) recordProbe(t probe.Target, state string, err error) {
	observed := upstream.Failing
	if err == nil {
		observed = stateconv.OfResponse(exchange.State(state))
	}
	e.observe(t.Service, t.Upstream, observed, group.Probe, time.Now())
}
