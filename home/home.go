package home

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/member"
)

// minUpstreams is the number of upstreams below which a failure domain is merged into another group of its region.
const minUpstreams = 2

// Group is a set of upstreams of one service that share a queue.
type Group struct {
	// ID is "service/failure-domain".
	ID string
	// Service, FailureDomain and Region are the group's service and location.
	Service, FailureDomain, Region string
	// Upstreams are the group's upstreams in the order of the configuration file, including leaving ones.
	Upstreams []declaration.Upstream
}

// Slots returns the total number of slots of the upstreams that are not leaving.
func (g Group) Slots() int {
	n := 0
	for _, u := range g.Upstreams {
		if !u.Leaving {
			n += u.Slots
		}
	}
	return n
}

// Groups returns the service's groups sorted by identifier. Failure domains with fewer than 2 upstreams are merged
// into the failure domain of their region with the most upstreams; ties go to the lowest name.
func Groups(d *declaration.Declaration, s *declaration.Service) []Group {
	count := make(map[string]int)
	for _, u := range s.Upstreams {
		count[u.FailureDomain]++
	}
	largest := make(map[string]string)
	for domain, n := range count {
		region := Region(d, domain)
		best, ok := largest[region]
		if !ok || n > count[best] || (n == count[best] && domain < best) {
			largest[region] = domain
		}
	}
	groups := make(map[string]*Group)
	for _, u := range s.Upstreams {
		domain := u.FailureDomain
		region := Region(d, domain)
		if count[domain] < minUpstreams {
			domain = largest[region]
		}
		g := groups[domain]
		if g == nil {
			g = &Group{ID: s.Name + "/" + domain, Service: s.Name, FailureDomain: domain, Region: region}
			groups[domain] = g
		}
		g.Upstreams = append(g.Upstreams, u)
	}
	all := make([]Group, 0, len(groups))
	for _, g := range groups {
		all = append(all, *g)
	}
	slices.SortFunc(all, func(a, b Group) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Order returns the usable VMs of live in the order of preference as the group's home. The candidates are the VMs of
// the group's failure domain, or of its region if there are none, or all VMs if there are none there either.
func Order(g Group, d *declaration.Declaration, live []member.Member) []member.Member {
	usableIn := func(accept func(domain string) bool) []int {
		var indices []int
		for i := range live {
			if live[i].Usable() && accept(live[i].FailureDomain) {
				indices = append(indices, i)
			}
		}
		return indices
	}
	candidates := usableIn(func(domain string) bool { return domain == g.FailureDomain })
	if len(candidates) == 0 {
		candidates = usableIn(func(domain string) bool { return Region(d, domain) == g.Region })
	}
	if len(candidates) == 0 {
		candidates = usableIn(func(string) bool { return true })
	}
	return rendezvous(g.ID, live, candidates)
}

// Watchers returns the names of the two VMs of the failure domain that read the store and the VM list, or fewer if
// the failure domain has fewer usable VMs.
func Watchers(domain string, live []member.Member) []string {
	var candidates []int
	for i, m := range live {
		if m.Usable() && m.FailureDomain == domain {
			candidates = append(candidates, i)
		}
	}
	ordered := rendezvous("readers/"+domain, live, candidates)
	names := make([]string, 0, 2)
	for _, m := range ordered[:min(2, len(ordered))] {
		names = append(names, m.Name)
	}
	return names
}

// Region returns the region of the failure domain, or the empty string if the configuration does not name it.
func Region(d *declaration.Declaration, domain string) string {
	for _, f := range d.FailureDomains {
		if f.Name == domain {
			return f.Region
		}
	}
	return ""
}

// rendezvous returns the members with the indices, ordered by the hash of key and name, highest first. The hash of a
// pair does not depend on the other members, so adding or removing a VM moves only the keys that it gains or held.
func rendezvous(key string, members []member.Member, indices []int) []member.Member {
	type scored struct {
		index int
		score uint64
	}
	all := make([]scored, len(indices))
	var h xxhash.Digest
	for i, index := range indices {
		h.Reset()
		_, _ = h.WriteString(key)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(members[index].Name)
		all[i] = scored{index, h.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return strings.Compare(members[a.index].Name, members[b.index].Name)
	})
	ordered := make([]member.Member, len(all))
	for i, s := range all {
		ordered[i] = members[s.index]
	}
	return ordered
}
