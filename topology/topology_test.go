package topology_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/topology"
)

// newVMs returns VMs of five failure domains; the first fast ones of each have fast links.
func newVMs(n, fast int) []fleet.VM {
	var vms []fleet.VM
	for i := range n {
		rate := 20.0
		if i/5 < fast {
			rate = 200
		}
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("fd-%d", i%5), LinkRate: rate})
	}
	return vms
}

// relaysOf returns the VMs that should be relays.
func relaysOf(vms []fleet.VM) []fleet.VM {
	var relays []fleet.VM
	for _, vm := range vms {
		if topology.ShouldRelay(vm, vms, topology.IsSmall(len(vms))) {
			relays = append(relays, vm)
		}
	}
	return relays
}

// TestPlaces guards against a fleet in which no VM or more than one watches the store, VMs follow each other in a cycle, or
// one VM has so many followers that its link is saturated.
func TestPlaces(t *testing.T) {
	const vmsPerRelay, maxFallback = 40, 8
	tests := map[string]struct{ vms, fast, maxRelays, maxFollowers int }{
		"one VM":               {1, 1, 1, 0},
		"two VMs":              {2, 1, 2, 1},
		"14 VMs":               {14, 3, 14, 13},
		"111 VMs":              {111, 2, 10, 110},
		"472 VMs":              {472, 3, 15, 2 * vmsPerRelay},
		"472 VMs, equal links": {472, 100, 15, 2 * vmsPerRelay},
		"3,000 VMs":            {3000, 15, 75, 2 * vmsPerRelay},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			vms := newVMs(test.vms, test.fast)
			relays := relaysOf(vms)
			So(len(relays), ShouldBeGreaterThanOrEqualTo, min(test.vms, 2))
			So(len(relays), ShouldBeLessThanOrEqualTo, test.maxRelays)
			watchers, followers, tiers := 0, make(map[string]int), make(map[string]topology.Tier)
			for _, vm := range vms {
				p := topology.New(vm, relays, len(vms))
				tiers[vm.Name] = p.Tier
				for i, other := range p.Fallback {
					isListed := func(list []fleet.VM) bool {
						return slices.ContainsFunc(list, func(l fleet.VM) bool { return l.Name == other.Name })
					}
					So(other.Name, ShouldNotEqual, vm.Name)
					So(isListed(p.Sources) || isListed(p.Fallback[:i]), ShouldBeFalse)
				}
				if p.Tier <= topology.Relay {
					So(len(p.Fallback), ShouldEqual, max(min(len(relays)-1-len(p.Sources), maxFallback), 0))
				}
				if p.Tier == topology.Watcher {
					watchers++
					So(p.Sources, ShouldBeEmpty)
					continue
				}
				followers[p.Sources[0].Name]++
			}
			So(watchers, ShouldEqual, 1)
			for _, n := range followers {
				So(n, ShouldBeLessThanOrEqualTo, test.maxFollowers)
			}
			for _, vm := range vms {
				p := topology.New(vm, relays, len(vms))
				for _, source := range p.Sources {
					So(source.Name, ShouldNotEqual, vm.Name)
					So(tiers[source.Name], ShouldBeLessThan, max(p.Tier, topology.Relay)+1)
				}
				if p.Tier == topology.Indirect {
					So(p.Sources[0].FailureDomain, ShouldEqual, vm.FailureDomain)
					So(tiers[p.Sources[0].Name], ShouldBeLessThan, topology.Direct)
				}
			}
		})
	}
}

// TestFastLinks guards against a fleet in which VMs with slow links pass entries on to others.
func TestFastLinks(t *testing.T) {
	Convey("Given 472 VMs of which 15 have fast links", t, func() {
		for _, vm := range relaysOf(newVMs(472, 3)) {
			So(vm.LinkRate, ShouldEqual, 200)
		}
	})
}

// TestRestart guards against a fleet that can't agree on a watcher right after all its processes have restarted.
func TestRestart(t *testing.T) {
	Convey("Given relays with new incarnations", t, func() {
		relays := relaysOf(newVMs(472, 3))
		before := topology.New(fleet.VM{Name: "x"}, relays, 472)
		for i := range relays {
			relays[i].Incarnation = fmt.Sprint(i)
		}
		after := topology.New(fleet.VM{Name: "x"}, relays, 472)
		for i := range before.Sources {
			So(after.Sources[i].Name, ShouldEqual, before.Sources[i].Name)
		}
	})
}

// TestElection guards against a fleet that starts from nothing and whose VMs nearly all read the whole store, or that takes
// seconds until the first one does.
func TestElection(t *testing.T) {
	// The fleet has to be ready within 3 s. Half of that is left for the read of the store and for the followers.
	const half = 1500 * time.Millisecond
	// visibleAfter is the time after which other VMs find a relay.
	const visibleAfter = 400 * time.Millisecond
	tests := map[string]struct {
		vms, fast, most int
		within          time.Duration
	}{
		"14 fast VMs":              {14, 3, 14, half},
		"472 VMs, 15 of them fast": {472, 3, 15, half},
		"472 VMs, equal links":     {472, 100, 90, half},
		"3,000 slow VMs":           {3000, 0, 60, 4 * time.Second},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			rnd := rand.New(rand.NewPCG(1, 2))
			for range 20 {
				var delays []time.Duration
				first := time.Hour
				for _, vm := range newVMs(test.vms, test.fast) {
					d := topology.ElectionDelay(vm.LinkRate, rnd.Float64())
					delays, first = append(delays, d), min(first, d)
				}
				elected := 0
				for _, d := range delays {
					if d <= first+visibleAfter {
						elected++
					}
				}
				So(first, ShouldBeLessThan, test.within)
				So(elected, ShouldBeBetweenOrEqual, 1, test.most)
			}
		})
	}
}

// TestStart guards against a large fleet whose VMs all follow the watcher, or all become relays, while they know few others.
func TestStart(t *testing.T) {
	Convey("Given VMs of a large fleet that know only the relays", t, func() {
		vms := newVMs(472, 3)
		relays := relaysOf(vms)
		registered := 0
		for _, vm := range vms {
			p := topology.New(vm, relays, 0)
			if p.Tier < topology.Indirect {
				So(relays, ShouldContain, vm)
			}
			if topology.ShouldRelay(vm, append(relays, vm), false) {
				registered++
			}
		}
		So(registered, ShouldBeLessThanOrEqualTo, len(relays))
	})
}
