package gateway

import (
	"slices"
	"time"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

// unknownDomainDelay is the time after which an evacuated failure domain without upstreams and VMs is reported. While all processes
// start, a domain's first entries come up to some seconds after that of the evacuation.
const unknownDomainDelay = 5 * time.Second

// evacuation holds the evacuated failure domains to which neither an upstream nor a VM belongs. Only the housekeeping uses it.
type evacuation struct {
	// unknownSince holds the times since which the domains are unknown, and reported those that were logged.
	unknownSince map[string]time.Time
	reported     map[string]bool
}

// updateEvacuation makes the requests that wait for a connection leave upstreams whose failure domain is evacuated.
func (g *Gateway) updateEvacuation() {
	if domains, _ := g.roster.Evacuated(); domains > 0 {
		g.exchanger.CheckPaused()
	}
}

// logUnknownEvacuated logs evacuated failure domains to which neither an upstream nor a VM belongs, each once while it is evacuated.
func (g *Gateway) logUnknownEvacuated(now time.Time) {
	unknown := g.roster.UnknownEvacuated()
	if len(unknown) > 0 {
		vms := g.fleet.List()
		unknown = slices.DeleteFunc(unknown, func(domain string) bool {
			return slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.FailureDomain == domain })
		})
	}
	for _, domain := range g.evacuation.update(unknown, now) {
		g.log.WithField("evacuated", domain).Warn("no upstream or VM belongs to the evacuated failure domain; the entry has no effect")
	}
}

// update records the unknown domains and returns those to report now.
func (e *evacuation) update(unknown []string, now time.Time) (report []string) {
	since, reported := make(map[string]time.Time, len(unknown)), make(map[string]bool)
	for _, domain := range unknown {
		first, exists := e.unknownSince[domain]
		if !exists {
			first = now
		}
		since[domain], reported[domain] = first, e.reported[domain]
		if !reported[domain] && now.Sub(first) >= unknownDomainDelay {
			reported[domain] = true
			report = append(report, domain)
		}
	}
	e.unknownSince, e.reported = since, reported
	return report
}
