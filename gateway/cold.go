package gateway

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/quota"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// updateWarmup takes over the warm-up rates of the services.
func (g *Gateway) updateWarmup(set *ruleset.Set) {
	s := g.settings.Load()
	w := quota.Warmup{Rates: make(map[string]float64), Overage: s.ColdOverage, Slack: s.ColdSlack}
	for name, service := range set.Services {
		if service.WarmupRate > 0 {
			w.Rates[name] = service.WarmupRate
		}
	}
	g.notices.TrackPolls(len(w.Rates) > 0)
	g.quotas.SetWarmup(w, g.fleet.StoredSize())
}

// countCold returns the number of upstreams that take requests and are cold.
func (g *Gateway) countCold() (n int) {
	set, now := g.mirror.Rules(), time.Now()
	if set == nil {
		return 0
	}
	for service := range set.Services {
		for _, u := range g.roster.Usable(service) {
			if now.Before(g.notices.Get(u, now).WarmAt) {
				n++
			}
		}
	}
	return n
}
