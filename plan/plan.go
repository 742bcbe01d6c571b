package plan

import (
	"slices"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/home"
	"github.com/fulmarhitch/fulmarhitch/member"
)

// Plan holds the groups of all services as seen by one entry VM. It is not modified after New.
type Plan struct {
	// Declaration is the configuration that the plan was built from.
	Declaration *declaration.Declaration
	services    map[string]*Service
	groups      map[string]*Group
}

// Service holds the groups of one service.
type Service struct {
	// Service is the service's part of the configuration.
	Service *declaration.Service
	// Groups are sorted by the preference of this entry VM, most preferred first.
	Groups []*Group
}

// Group is a group of upstreams with its homes.
type Group struct {
	home.Group
	// Service is the service's part of the configuration.
	Service *declaration.Service
	// Homes are the live entry VMs in the order in which they are preferred as home of the group.
	Homes []member.Member
	// Home is true if this entry VM is the first of Homes.
	Home bool
}

// New returns the plan of the entry VM self for the configuration d and the live entry VMs.
func New(d *declaration.Declaration, live []member.Member, self member.Member) *Plan {
	p := &Plan{Declaration: d, services: make(map[string]*Service, len(d.Services)), groups: make(map[string]*Group)}
	for i := range d.Services {
		s := &Service{Service: &d.Services[i]}
		for _, g := range home.Groups(d, s.Service) {
			group := &Group{Group: g, Service: s.Service, Homes: home.Order(g, d, live)}
			group.Home = len(group.Homes) > 0 && group.Homes[0].Name == self.Name
			s.Groups = append(s.Groups, group)
			p.groups[g.ID] = group
		}
		sortGroups(s.Groups, self.FailureDomain, home.Region(d, self.FailureDomain))
		p.services[s.Service.Name] = s
	}
	return p
}

// Service returns the service with the name, or nil.
func (p *Plan) Service(name string) *Service {
	return p.services[name]
}

// Group returns the group with the identifier, or nil.
func (p *Plan) Group(id string) *Group {
	return p.groups[id]
}

// Groups returns all groups by identifier; the caller must not change the map.
func (p *Plan) Groups() map[string]*Group {
	return p.groups
}

// sortGroups sorts groups by distance: first those that this entry VM is home of, then those of its failure domain, then
// those of its region.
func sortGroups(groups []*Group, failureDomain, region string) {
	distance := func(g *Group) int {
		switch {
		case g.Home && g.FailureDomain == failureDomain:
			return 0
		case g.Home:
			return 1
		case g.FailureDomain == failureDomain:
			return 2
		case g.Region == region:
			return 3
		default:
			return 4
		}
	}
	// The sort is stable, so that ties keep the order of the identifiers.
	slices.SortStableFunc(groups, func(a, b *Group) int { return distance(a) - distance(b) })
}
