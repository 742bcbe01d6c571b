package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarhitch/fulmarhitch/contact"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

// maxProbeTime bounds a probe whose context has no earlier end.
const maxProbeTime = time.Second

// probeTarget is an upstream with the path of its health endpoint.
type probeTarget struct {
	upstream   roster.Upstream
	healthPath string
}

// probeUpstreams polls at most n upstreams on new connections.
func (g *Gateway) probeUpstreams(ctx context.Context, n int) contact.Probe {
	targets := g.probeTargets(n)
	answered := make(chan bool, len(targets))
	for _, t := range targets {
		go func() { answered <- g.probeUpstream(ctx, t) }()
	}
	p := contact.Probe{Asked: len(targets)}
	for range targets {
		if <-answered {
			p.Answered++
		}
	}
	return p
}

// probeTargets returns at most n upstreams of as many services as possible at random.
func (g *Gateway) probeTargets(n int) []probeTarget {
	set := g.mirror.Rules()
	if set == nil {
		return nil
	}
	services := slices.Collect(maps.Keys(set.Services))
	rand.Shuffle(len(services), func(i, j int) { services[i], services[j] = services[j], services[i] })
	// The first upstreams of n services suffice.
	var lists [][]probeTarget
	for _, name := range services {
		if len(lists) == n {
			break
		}
		if list := g.sampleService(name, set.Services[name].HealthPath, n); len(list) > 0 {
			lists = append(lists, list)
		}
	}
	var targets []probeTarget
	for round := range n {
		for _, list := range lists {
			if round < len(list) && len(targets) < n {
				targets = append(targets, list[round])
			}
		}
	}
	return targets
}

// sampleService returns at most n upstreams of the service at random.
func (g *Gateway) sampleService(service, healthPath string, n int) []probeTarget {
	usable := g.roster.Usable(service)
	var list []probeTarget
	for _, i := range rand.Perm(len(usable))[:min(n, len(usable))] {
		list = append(list, probeTarget{usable[i], healthPath})
	}
	return list
}

// probeUpstream reports whether the upstream answers a poll on a new connection.
func (g *Gateway) probeUpstream(ctx context.Context, t probeTarget) bool {
	u := t.upstream
	r := request.NewPoll(u.Service, u.Address, t.healthPath, time.Now().Add(maxProbeTime))
	res := g.exchanger.Probe(ctx, r, declaration.Upstream{Name: u.ID, Address: u.Address})
	out, isNotRun := res.Outcome.(outcome.NotRun)
	// Nothing is sent to an upstream that wants no requests, but the connection to it was opened.
	return res.Class == exchange.Answered || isNotRun && out.Reason == outcome.Refused
}

// updateContact tells other VMs that the contact with upstreams was lost or is back, and ends dials that wait in vain.
func (g *Gateway) updateContact() {
	g.membership.Update(time.Now())
	g.mirror.Interrupt()
	if g.contact.IsLost() {
		// The limits are divided again later, so that requests in progress can use what was saved up of the retry budget.
		g.exchanger.CancelDials()
		return
	}
	g.divideLimits()
}
