package home_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/home"
	"github.com/fulmarhitch/fulmarhitch/member"
)

func newDeclaration(perDomain map[string]int) (*declaration.Declaration, *declaration.Service) {
	d := &declaration.Declaration{FailureDomains: []declaration.FailureDomain{
		{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "a3", Region: "a"}, {Name: "b1", Region: "b"},
	}, Services: []declaration.Service{{Name: "s"}}}
	s := &d.Services[0]
	for _, domain := range []string{"a1", "a2", "a3", "b1"} {
		for i := range perDomain[domain] {
			s.Upstreams = append(s.Upstreams, declaration.Upstream{Name: fmt.Sprint(domain, i), FailureDomain: domain, Slots: 2, Leaving: i == 0})
		}
	}
	return d, s
}

// TestGroups guards against a group with a single upstream while its region has more upstreams, and against a group
// whose identifier changes because an upstream drains.
func TestGroups(t *testing.T) {
	cases := map[string]struct {
		perDomain, want map[string]int
	}{
		"no merging":           {map[string]int{"a1": 2, "a2": 3}, map[string]int{"s/a1": 2, "s/a2": 3}},
		"single joins largest": {map[string]int{"a1": 1, "a2": 2, "a3": 3}, map[string]int{"s/a2": 2, "s/a3": 4}},
		"tie by lowest name":   {map[string]int{"a1": 1, "a2": 2, "a3": 2}, map[string]int{"s/a2": 3, "s/a3": 2}},
		"singles only":         {map[string]int{"a1": 1, "a2": 1, "a3": 1}, map[string]int{"s/a1": 3}},
		"one in a region":      {map[string]int{"a1": 2, "b1": 1}, map[string]int{"s/a1": 2, "s/b1": 1}},
		"none":                 {nil, map[string]int{}},
	}
	Convey("Given upstreams in failure domains", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				d, s := newDeclaration(c.perDomain)
				got := map[string]int{}
				for _, g := range home.Groups(d, s) {
					got[g.ID] = len(g.Upstreams)
				}
				So(got, ShouldResemble, c.want)
			})
		}
	})
}

func aliveVMs(domains map[string]int) []member.Member {
	var all []member.Member
	for _, domain := range []string{"a1", "a2", "a3", "b1"} {
		for i := range domains[domain] {
			all = append(all, member.Member{Name: fmt.Sprint("e-", domain, i), FailureDomain: domain, State: member.Alive})
		}
	}
	return all
}

// TestOrder guards against homes outside the group's failure domain or region while there are VMs in it, and against
// leaving VMs as homes.
func TestOrder(t *testing.T) {
	leaving := member.Member{Name: "l", FailureDomain: "a1", State: member.Leaving, IsLeaving: true}
	dead := member.Member{Name: "x", FailureDomain: "a1", State: member.Dead}
	cases := map[string]struct {
		live []member.Member
		want map[string]bool
	}{
		"own failure domain": {append(aliveVMs(map[string]int{"a1": 1, "a2": 2}), leaving, dead), map[string]bool{"a1": true}},
		"region":             {append(aliveVMs(map[string]int{"a2": 1, "a3": 1, "b1": 1}), leaving, dead), map[string]bool{"a2": true, "a3": true}},
		"any":                {append(aliveVMs(map[string]int{"b1": 2}), leaving, dead), map[string]bool{"b1": true}},
		"no usable VM":       {[]member.Member{leaving, dead}, map[string]bool{}},
	}
	Convey("Given VMs", t, func() {
		d, _ := newDeclaration(nil)
		for name, c := range cases {
			Convey(name, func() {
				got := map[string]bool{}
				for _, m := range home.Order(home.Group{ID: "s/a1", FailureDomain: "a1", Region: "a"}, d, c.live) {
					got[m.FailureDomain] = true
					So(m.Usable(), ShouldBeTrue)
				}
				So(got, ShouldResemble, c.want)
			})
		}
	})
}

// TestMovement guards against homes that move although their VM is still a member, and against an uneven distribution
// of homes over the VMs.
func TestMovement(t *testing.T) {
	Convey("Given 1000 groups and 20 VMs of which one is removed", t, func() {
		d, _ := newDeclaration(nil)
		all := aliveVMs(map[string]int{"a1": 20})
		remaining := append(append([]member.Member{}, all[:7]...), all[8:]...)
		count := map[string]int{}
		for i := range 1000 {
			g := home.Group{ID: fmt.Sprintf("s%d/a1", i), FailureDomain: "a1", Region: "a"}
			before, after := home.Order(g, d, all)[0], home.Order(g, d, remaining)[0]
			count[before.Name]++
			if before.Name != all[7].Name {
				So(after.Name, ShouldEqual, before.Name)
			}
		}
		for _, m := range all {
			So(count[m.Name], ShouldBeBetween, 20, 90)
		}
		So(home.Watchers("a1", all), ShouldHaveLength, 2)
		So(home.Watchers("a1", all[:1]), ShouldResemble, []string{all[0].Name})
	})
}
