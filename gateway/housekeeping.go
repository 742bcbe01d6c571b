package gateway

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/allotment"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// housekeepingInterval is the time between two removals of expired state.
	housekeepingInterval = 500 * time.Millisecond
	// settingsCheckInterval is the time between two reads of the settings, which may change without a signal.
	settingsCheckInterval = 5 * time.Second
)

// runHousekeeping removes expired state and reads the settings again when they may have changed.
func (g *Gateway) runHousekeeping(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	housekeeping := time.NewTicker(housekeepingInterval)
	defer housekeeping.Stop()
	settings := time.NewTicker(settingsCheckInterval)
	defer settings.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-housekeeping.C:
			if n := g.roster.Expire(now); n > 0 {
				g.log.WithField("upstreams", n).Info("dropped upstreams that did not register again after the store outage")
			}
			g.fleet.Expire(now)
			g.logUnknownEvacuated(now)
			g.membership.Update(now)
			g.conditions.Expire(now)
			g.domainCosts.Expire(now)
			g.notices.Expire(g.roster.Has, now)
			g.crashGuard.CheckSilences(g.roster.Get, g.reportedAt, now)
			g.quotas.Retain(g.roster.Has)
			g.sampler.Retain(g.roster.Has)
			g.divideLimits()
		case <-hangup:
			g.reload("signal")
		case <-settings.C:
			g.reload("")
			g.exchanger.CloseBroken()
		}
	}
}

// reportedAt returns the time of the latest load report of the upstream, or zero if there is none.
func (g *Gateway) reportedAt(id string, now time.Time) time.Time {
	if c := g.conditions.Get(id, now); c.HasLoad {
		return now.Add(-c.Age)
	}
	return time.Time{}
}

// reload applies the settings that can change while the process runs. Addresses can't.
func (g *Gateway) reload(cause string) {
	s, err := g.config.Reload()
	if err != nil {
		g.log.WithError(err).Error("failed to reload settings; keeping the earlier ones")
		return
	}
	old := g.settings.Load()
	if reflect.DeepEqual(s, old) {
		if cause != "" {
			g.log.WithField("cause", cause).Info("settings are unchanged")
		}
		return
	}
	g.settings.Store(s)
	g.divideLimits()
	g.log.WithFields(logrus.Fields{
		"cause": cause, "retry-burst": s.RetryBurst, "questions-per-second": s.QuestionsPerSecond,
	}).Info("settings reloaded")
}

// divideLimits divides the fleet-wide limits among the VMs, and drops the splitter's state of rules that are no longer in
// force.
func (g *Gateway) divideLimits() {
	burst := g.allotment().Burst(g.settings.Load().RetryBurst, time.Now())
	if g.contact.IsLost() {
		// The VMs that reach upstreams share the budget meanwhile, so this one must not come back with savings.
		burst = 0
	}
	g.retries.SetBurst(burst)
	g.sampler.UpdateLimits()
	g.quotas.SetVMs(g.fleet.Settled())
	if set := g.mirror.Rules(); set != nil {
		g.splitter.Retain(set)
		g.updateWarmup(set)
	}
}

// allotment returns the fleet for the division of its limits.
func (g *Gateway) allotment() allotment.Fleet {
	vms, local := g.fleet.Sharers()
	return allotment.Fleet{VM: g.fleet.Self().Name, VMs: vms, LocalVMs: local}
}

// sharers returns the number of VMs that share the limits of organisations, or 0 if it isn't known.
func (g *Gateway) sharers() int {
	if g.fleet.KnownSize() == 0 {
		return 0
	}
	vms, _ := g.fleet.Sharers()
	return vms
}

// pollShare returns the number of polls that this VM may send to the upstream per second.
func (g *Gateway) pollShare(u roster.Upstream) float64 {
	domain := g.settings.Load().FailureDomain
	near := g.roster.Count(u.Service, domain)
	return g.allotment().Polls(g.settings.Load().QuestionsPerSecond, u.FailureDomain == domain, near, forwarder.SubsetSize)
}

// connectionShare returns this VM's share of the connections to each upstream of the service.
func (g *Gateway) connectionShare(service string) int {
	set := g.mirror.Rules()
	if set == nil {
		return 0
	}
	return g.allotment().Connections(set.Services[service].Connections)
}
