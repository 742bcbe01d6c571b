package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/member"
)

var start = time.Unix(1_000_000, 0)

func vm(name, incarnation string, s member.State, counter uint64) member.Member {
	return member.Member{
		Name: name, Incarnation: incarnation, PeerAddress: name + ":7", Address: name + ":8", FailureDomain: "d",
		State: s, Counter: counter,
	}
}

func table() *member.Table {
	return member.New(vm("self", "bb", member.Alive, 0), member.DefaultTimes(), rand.New(rand.NewPCG(1, 1)), start)
}

// TestOrder guards against old news that replaces later news of a member, in any order of arrival.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		news []member.Member
		want member.State
		left bool
		inc  string
	}{
		"suspect after alive":         {[]member.Member{vm("a", "11", member.Alive, 5), vm("a", "11", member.Suspect, 5)}, member.Suspect, false, "11"},
		"old suspicion":               {[]member.Member{vm("a", "11", member.Alive, 6), vm("a", "11", member.Suspect, 5)}, member.Alive, false, "11"},
		"refutation":                  {[]member.Member{vm("a", "11", member.Dead, 5), vm("a", "11", member.Alive, 6)}, member.Alive, false, "11"},
		"new incarnation":             {[]member.Member{vm("a", "22", member.Alive, 5), vm("a", "11", member.Alive, 6)}, member.Alive, false, "11"},
		"late news of the old one":    {[]member.Member{vm("a", "11", member.Alive, 6), vm("a", "22", member.Dead, 5)}, member.Alive, false, "11"},
		"leaving never returns":       {[]member.Member{vm("a", "11", member.Leaving, 6), vm("a", "11", member.Alive, 9)}, member.Leaving, true, "11"},
		"leaving, suspected, refuted": {[]member.Member{vm("a", "11", member.Leaving, 6), vm("a", "11", member.Suspect, 6), vm("a", "11", member.Alive, 7)}, member.Leaving, true, "11"},
		"restart after leaving":       {[]member.Member{vm("a", "11", member.Leaving, 6), vm("a", "22", member.Alive, 9)}, member.Alive, false, "22"},
	}
	Convey("Given news of a member", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				tab := table()
				for _, m := range c.news {
					tab.Apply(m, start)
				}
				got, _ := tab.Get("a")
				So(got.State, ShouldEqual, c.want)
				So(got.Left, ShouldEqual, c.left)
				So(got.Incarnation, ShouldEqual, c.inc)
				So(tab.Others(), ShouldEqual, 1)
			})
		}
	})
}

// TestSelf guards against a process that is held dead for good, that returns after it announced its stop, or that
// fights with the process that replaced it.
func TestSelf(t *testing.T) {
	later := uint64(start.UnixMilli()) + 7
	cases := map[string]struct {
		news     member.Member
		leave    bool
		after    time.Duration
		want     member.State
		counter  uint64
		replaced bool
	}{
		"suspected":             {news: vm("self", "bb", member.Suspect, later), want: member.Alive, counter: later + 1},
		"suspected, leaving":    {news: vm("self", "bb", member.Dead, later), leave: true, want: member.Leaving, counter: later + 1},
		"old suspicion":         {news: vm("self", "bb", member.Dead, 1), want: member.Alive, counter: later - 7},
		"predecessor":           {news: vm("self", "cc", member.Alive, 1), want: member.Alive, counter: later - 7},
		"predecessor, fast":     {news: vm("self", "cc", member.Alive, later), want: member.Alive, counter: later + 1},
		"successor of a frozen": {news: vm("self", "cc", member.Alive, later), after: time.Minute, want: member.Alive, counter: later - 7, replaced: true},
	}
	Convey("Given news of self", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				tab := table()
				if c.leave {
					tab.Leave()
				}
				tab.Apply(c.news, start.Add(c.after))
				So(tab.Self().State, ShouldEqual, c.want)
				So(tab.Self().Counter, ShouldEqual, c.counter)
				So(tab.Replaced(), ShouldEqual, c.replaced)
			})
		}
	})
}

// TestTimes guards against suspects that die early or after a pause of this process, and dead entries kept for good.
func TestTimes(t *testing.T) {
	Convey("Given a member that fails", t, func() {
		tab := table()
		tab.Apply(vm("a", "11", member.Alive, 1), start)
		_, stale := tab.Fail("a", "22", start)
		So(stale, ShouldBeFalse)
		_, ok := tab.Fail("a", "11", start)
		So(ok, ShouldBeTrue)
		So(tab.Tick(start.Add(1400*time.Millisecond)), ShouldBeEmpty)
		tab.Resume(start.Add(time.Second))
		So(tab.Tick(start.Add(1600*time.Millisecond)), ShouldBeEmpty)
		So(tab.Tick(start.Add(2500*time.Millisecond)), ShouldHaveLength, 1)
		So(tab.Live(), ShouldHaveLength, 1)
		tab.Tick(start.Add(11 * time.Minute))
		So(tab.Others(), ShouldEqual, 0)
		tab.Apply(vm("a", "11", member.Dead, 1), start.Add(11*time.Minute))
		So(tab.Others(), ShouldEqual, 0)
	})
}

// TestList guards against a VM list that revives, removes or for good marks members it is wrong about.
func TestList(t *testing.T) {
	entry := func(name string, leaving bool) member.Listed {
		return member.Listed{Name: name, Address: name + ":8", PeerAddress: name + ":7", FailureDomain: "d", Leaving: leaving}
	}
	Convey("Given a live, a dead and an unknown VM", t, func() {
		tab := table()
		tab.Apply(vm("a", "11", member.Alive, 1), start)
		tab.Apply(vm("b", "11", member.Alive, 1), start)
		tab.Apply(vm("b", "11", member.Dead, 1), start)
		tab.List([]member.Listed{entry("b", false), entry("c", false), entry("self", true), {Name: "a:7", PeerAddress: "a:7"}})
		So(tab.Live(), ShouldHaveLength, 2)
		So(tab.Candidates(9), ShouldHaveLength, 1)
		Convey("a leaving mark holds for as long as it is listed", func() {
			tab.List([]member.Listed{entry("a", true)})
			So(tab.Live()[0].Usable(), ShouldBeFalse)
			So(tab.Candidates(9), ShouldBeEmpty)
			tab.List(nil)
			So(tab.Live()[0].Usable(), ShouldBeTrue)
		})
		Convey("a candidate that is heard under its own name counts once", func() {
			tab.List([]member.Listed{{Name: "b:7", PeerAddress: "b:7"}})
			So(tab.Candidates(9), ShouldHaveLength, 1)
			tab.Apply(vm("b", "11", member.Alive, 2), start)
			tab.List([]member.Listed{{Name: "b:7", PeerAddress: "b:7"}})
			So(tab.Candidates(9), ShouldBeEmpty)
			tab.List([]member.Listed{{Name: "x:7", PeerAddress: "x:7"}})
			tab.Apply(member.Member{Name: "x", Incarnation: "11", PeerAddress: "x:7", State: member.Alive, Counter: 1}, start)
			So(tab.Candidates(9), ShouldBeEmpty)
		})
	})
}

// TestRound guards against members that a random choice leaves unpinged for long.
func TestRound(t *testing.T) {
	Convey("Given ten members, each round visits each once", t, func() {
		tab := table()
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			tab.Apply(vm(name, "11", member.Alive, 1), start)
		}
		for range 3 {
			seen := map[string]bool{}
			for range 10 {
				m, ok := tab.Next()
				So(ok, ShouldBeTrue)
				seen[m.Name] = true
			}
			So(seen, ShouldHaveLength, 10)
		}
	})
}
