package plan_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/plan"
)

func vm(name, domain string, state member.State) member.Member {
	return member.Member{Name: name, Incarnation: name, FailureDomain: domain, Address: "a", PeerAddress: "p", State: state}
}

func newDeclaration() *declaration.Declaration {
	d := &declaration.Declaration{MaxEntryVMs: 9}
	s := declaration.Service{Name: "s"}
	for _, domain := range []string{"a", "b", "c"} {
		d.FailureDomains = append(d.FailureDomains, declaration.FailureDomain{Name: domain, Region: "r"})
		for i := range 2 {
			s.Upstreams = append(s.Upstreams, declaration.Upstream{Name: fmt.Sprint(domain, i), FailureDomain: domain, Slots: 1})
		}
	}
	d.Services = []declaration.Service{s}
	return d
}

// TestNew guards against plans that send requests to a VM that has left, or that do not prefer the group that this VM is
// home of.
func TestNew(t *testing.T) {
	self := vm("e2", "b", member.Alive)
	for name, c := range map[string]struct {
		live []member.Member
		home bool
	}{
		"alone in its failure domain": {[]member.Member{vm("e1", "a", member.Alive), self, vm("e3", "c", member.Alive)}, true},
		"only VM":                     {[]member.Member{self}, true},
		"leaving":                     {[]member.Member{vm("e1", "a", member.Alive), vm("e2", "b", member.Leaving)}, false},
	} {
		Convey(name, t, func() {
			p := plan.New(newDeclaration(), c.live, self)
			first := p.Service("s").Groups[0]
			So(first.FailureDomain, ShouldEqual, "b")
			So(first.Home, ShouldEqual, c.home)
			for _, g := range p.Groups() {
				So(g.Homes, ShouldNotBeEmpty)
				for _, m := range g.Homes {
					So(m.Usable(), ShouldBeTrue)
				}
			}
			So(p.Service("t"), ShouldBeNil)
			So(p.Group("s/x"), ShouldBeNil)
		})
	}
}
