package addressing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/addressing"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/home"
	"github.com/fulmarhitch/fulmarhitch/member"
)

// newDeclaration returns a declaration of one service with 2, 2 and 8 slots in the failure domains a1, a2 and b1.
func newDeclaration() *declaration.Declaration {
	d := &declaration.Declaration{AddressLifetime: 5 * time.Second, FailureDomains: []declaration.FailureDomain{
		{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "b1", Region: "b"},
	}, Services: []declaration.Service{{Name: "s"}}}
	for domain, slots := range map[string]int{"a1": 1, "a2": 1, "b1": 4} {
		for i := range 2 {
			d.Services[0].Upstreams = append(d.Services[0].Upstreams,
				declaration.Upstream{Name: fmt.Sprint(domain, i), FailureDomain: domain, Slots: slots})
		}
	}
	return d
}

func newMembers(perDomain int, state member.State) []member.Member {
	var all []member.Member
	for _, domain := range []string{"a1", "a2", "b1"} {
		for i := range perDomain {
			name := fmt.Sprint("e-", domain, i)
			all = append(all, member.Member{
				Name: name, Address: name + ":1", FailureDomain: domain, State: state, IsLeaving: state == member.Leaving,
			})
		}
	}
	return all
}

// TestAnswer guards against answers that prefer a distant or leaving VM, or that are empty although a VM is live.
func TestAnswer(t *testing.T) {
	mixed := append(newMembers(1, member.Leaving), member.Member{Name: "z", Address: "z:1", FailureDomain: "b1", State: member.Alive})
	cases := map[string]struct {
		live   []member.Member
		caller string
		first  string // failure domain
		size   int
		err    error
	}{
		"own failure domain first": {live: newMembers(5, member.Alive), caller: "a1", first: "a1", size: 4},
		"another caller":           {live: newMembers(5, member.Alive), caller: "b1", first: "b1", size: 4},
		"few VMs":                  {live: newMembers(1, member.Alive), caller: "a2", first: "a2", size: 3},
		"leaving left out":         {live: mixed, caller: "a1", first: "b1", size: 1},
		"all leaving":              {live: newMembers(1, member.Leaving), caller: "a1", size: 3},
		"no VM":                    {err: addressing.ErrNoVM},
	}
	Convey("Given a service in three failure domains", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				got, err := addressing.Select(newDeclaration(), "s", c.live, addressing.Caller{FailureDomain: c.caller, Token: 1}, time.Now())
				So(errors.Is(err, c.err), ShouldBeTrue)
				So(got.List, ShouldHaveLength, c.size)
				seen := map[string]bool{}
				for _, a := range got.List {
					So(seen[a.Name], ShouldBeFalse)
					seen[a.Name] = true
				}
				if c.first != "" {
					So(got.List[0].FailureDomain, ShouldEqual, c.first)
				}
			})
		}
		_, err := addressing.Select(newDeclaration(), "t", newMembers(1, member.Alive), addressing.Caller{}, time.Now())
		So(errors.Is(err, addressing.ErrNoService), ShouldBeTrue)
	})
}

// TestSpread guards against homes that receive callers out of proportion to their groups' slots.
func TestSpread(t *testing.T) {
	Convey("Given 6000 callers in an unknown failure domain and groups with 2, 2 and 8 slots", t, func() {
		rnd := rand.New(rand.NewPCG(1, 2))
		d, live, count := newDeclaration(), newMembers(5, member.Alive), map[string]int{}
		for range 6000 {
			got, err := addressing.Select(d, "s", live, addressing.Caller{Token: rnd.Uint64()}, time.Now())
			So(err, ShouldBeNil)
			count[got.List[0].Name]++
		}
		for _, g := range home.Groups(d, &d.Services[0]) {
			So(count[home.Order(g, d, live)[0].Name], ShouldAlmostEqual, 500*g.Slots(), 150)
		}
	})
}
