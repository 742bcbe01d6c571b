package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// housekeepingInterval is the time between two removals of expired state.
	housekeepingInterval = 500 * time.Millisecond
	// settingsCheckInterval is the time between two reads of the settings, which may change without a signal.
	settingsCheckInterval = 5 * time.Second
	// fleetLimitFraction is the fraction of a fleet-wide limit that is used, because VMs disagree about the size of the fleet
	// for a while after it changes.
	fleetLimitFraction = 0.8
	// minConnections is the minimum number of connections to an upstream; requests and polls each need one.
	minConnections = 4
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
			g.updateMembership(now)
			g.conditions.Expire(now)
			g.sampler.Retain(g.roster.Has)
			g.divideLimits()
		case <-hangup:
			g.reload("signal")
		case <-settings.C:
			g.reload("")
		}
	}
}

// reload applies the settings that can change while the process runs. Addresses can't.
func (g *Gateway) reload(cause string) {
	s, err := g.config.Reload()
	if err != nil {
		g.log.WithError(err).Error("failed to reload settings; keeping the earlier ones")
		return
	}
	old := g.settings.Load()
	if *s == *old {
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

// divideLimits divides the fleet-wide limits by the number of VMs, and drops the splitter's state of rules that are no
// longer in force.
func (g *Gateway) divideLimits() {
	s, n := g.settings.Load(), float64(g.fleet.Size())
	n = max(n, 1)
	g.retries.SetBurst(fleetLimitFraction * s.RetryBurst / n)
	g.sampler.SetLimit(fleetLimitFraction * s.QuestionsPerSecond / n)
	if set := g.mirror.Rules(); set != nil {
		g.splitter.Retain(set)
	}
}

// connectionShare returns this VM's share of the connections to each upstream of the service.
func (g *Gateway) connectionShare(service string) int {
	set := g.mirror.Rules()
	if set == nil {
		return 0
	}
	total := set.Services[service].Connections
	return max(int(fleetLimitFraction*float64(total)/float64(max(g.fleet.Size(), 1))), minConnections)
}
