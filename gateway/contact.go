package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
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
	var lists [][]roster.Upstream
	for _, s := range services {
		list := slices.Clone(g.roster.Usable(s))
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		lists = append(lists, list)
	}
	var targets []probeTarget
	for round, isExhausted := 0, false; !isExhausted; round++ {
		isExhausted = true
		for i, list := range lists {
			if len(targets) == n {
				return targets
			}
			if round < len(list) {
				isExhausted = false
				targets = append(targets, probeTarget{list[round], set.Services[services[i]].HealthPath})
			}
		}
	}
	return targets
}

// probeUpstream reports whether the upstream answers a poll on a new connection.
func (g *Gateway) probeUpstream(ctx context.Context, t probeTarget) bool {
	u := t.upstream
	r := &request.Request{
		Service: u.Service, Method: http.MethodGet, Path: t.healthPath, Host: u.Address, Idempotent: true,
		Deadline: time.Now().Add(maxProbeTime),
	}
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
