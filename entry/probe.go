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
	"github.com/fulmarhitch/fulmarhitch/statement"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// targetsInterval is how long a list of probe targets is used. The prober asks 50 times a second, and a look at 3,000
// upstreams each time would cost more than the 1 % of a core that control may take.
const targetsInterval = 500 * time.Millisecond

// publish tells the peers the state of an upstream.
func (e *Entry) publish(service, name string, s upstream.State) {
	e.gossip.Publish(statement.Event(service, name, s))
}

func (e *Entry) newProber() kernel.Service {
	var targets []probe.Target
	var made time.Time
	return probe.New(probe.Options{
		Targets: func(now time.Time) []probe.Target {
			if now.Sub(made) > targetsInterval {
				targets, made = e.targets(now), now
			}
			return targets
		},
		Fleet: e.fleet, Check: e.checkUpstream, Observe: e.probed, Log: e.log,
	})
}

// targets returns the upstreams that this VM should probe. A VM that is not ready probes nothing, because the fleet
// may have no room for it; nor does a process whose name another one has taken over.
func (e *Entry) targets(now time.Time) []probe.Target {
	p := e.router.Plan()
	if p == nil || !e.ready.set.Load() || e.gossip.Replaced() {
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

// fleet returns this VM's rank among the live VMs.
func (e *Entry) fleet() probe.Fleet {
	live := e.gossip.Live()
	rank := slices.IndexFunc(live, func(m member.Member) bool { return m.Name == e.self.Name })
	return probe.Fleet{Rank: max(rank, 0), Known: len(live)}
}

// checkUpstream asks the upstream's health endpoint once.
func (e *Entry) checkUpstream(ctx context.Context, t probe.Target) (string, error) {
	e.metrics.Probe()
	state, err := e.exchange.Health(ctx, t.Service, declaration.Upstream{Name: t.Upstream, Address: t.Address})
	return string(state), err
}

// probed takes the result of a probe.
func (e *Entry) probed(t probe.Target, state string, err error) {
	observed := upstream.Failing
	if err == nil {
		observed = statement.OfResponse(exchange.State(state))
	}
	e.observed(t.Service, t.Upstream, observed, group.Probe, time.Now())
}
