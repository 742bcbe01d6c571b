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
	// houseInterval is the time between two expiries of what has lapsed.
	houseInterval = 500 * time.Millisecond
	// settingsInterval is the time between two looks at the settings, which may change without a signal.
	settingsInterval = 5 * time.Second
	// shareMargin is the part of a fleet-wide limit that is used, because VMs disagree about the fleet for a while.
	shareMargin = 0.8
	// minConnections is the least number of connections to an upstream: one for a request and one for a question.
	minConnections = 4
)

// keepHouse expires what has lapsed and reads the settings again when they may have changed.
func (g *Gateway) keepHouse(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	house := time.NewTicker(houseInterval)
	defer house.Stop()
	settings := time.NewTicker(settingsInterval)
	defer settings.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-house.C:
			if n := g.roster.Expire(now); n > 0 {
				g.log.WithField("upstreams", n).Info("upstreams did not return after the outage")
			}
			g.fleet.Expire(now)
			g.conditions.Expire(now)
			g.sampler.Keep(g.roster.Has)
			g.share()
		case <-hangup:
			g.reload("signal")
		case <-settings.C:
			g.reload("")
		}
	}
}

// reload takes over the settings that can change while the process runs. Addresses can't.
func (g *Gateway) reload(cause string) {
	s, err := g.config.Reload()
	if err != nil {
		g.log.WithError(err).Error("settings not taken over, the earlier ones stay")
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
	g.share()
	g.log.WithFields(logrus.Fields{
		"cause": cause, "retry-burst": s.RetryBurst, "questions-per-second": s.QuestionsPerSecond,
	}).Info("settings taken over")
}

// share divides the fleet's limits by the number of VMs.
func (g *Gateway) share() {
	s, n := g.settings.Load(), float64(len(g.fleet.List()))
	n = max(n, 1)
	g.retries.SetBurst(shareMargin * s.RetryBurst / n)
	g.sampler.Limit(shareMargin * s.QuestionsPerSecond / n)
	if set := g.mirror.Rules(); set != nil {
		g.splitter.Keep(set)
	}
}

// connections returns this VM's share of the connections to each upstream of the service.
func (g *Gateway) connections(service string) int {
	set := g.mirror.Rules()
	if set == nil {
		return 0
	}
	total := set.Services[service].Connections
	return max(int(shareMargin*float64(total)/float64(max(len(g.fleet.List()), 1))), minConnections)
}
