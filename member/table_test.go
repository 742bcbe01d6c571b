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

func newTable() *member.Table {
	return member.New(vm("self", "bb", member.Alive, 0), member.DefaultTimes(), rand.New(rand.NewPCG(1, 1)), start)
}

// TestOrder guards against an old update that replaces a later one, in any order of arrival.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		updates     []member.Member
		want        member.State
		left        bool
		incarnation string
	}{
		"suspect after alive":         {[]member.Member{vm("a", "11", member.Alive, 5), vm("a", "11", member.Suspect, 5)}, member.Suspect, false, "11"},
		"old suspicion":               {[]member.Member{vm("a", "11", member.Alive, 6), vm("a", "11", member.Suspect, 5)}, member.Alive, false, "11"},
		"refutation":                  {[]member.Member{vm("a", "11", member.Dead, 5), vm("a", "11", member.Alive, 6)}, member.Alive, false, "11"},
		"new incarnation":             {[]member.Member{vm("a", "22", member.Alive, 5), vm("a", "11", member.Alive, 6)}, member.Alive, false, "11"},
		"late update of the old one":  {[]member.Member{vm("a", "11", member.Alive, 6), vm("a", "22", member.Dead, 5)}, member.Alive, false, "11"},
		"leaving never returns":       {[]member.Member{vm("a", "11", member.Leaving, 6), vm("a", "11", member.Alive, 9)}, member.Leaving, true, "11"},
		"leaving, suspected, refuted": {[]member.Member{vm("a", "11", member.Leaving, 6), vm("a", "11", member.Suspect, 6), vm("a", "11", member.Alive, 7)}, member.Leaving, true, "11"},
		"restart after leaving":       {[]member.Member{vm("a", "11", member.Leaving, 6), vm("a", "22", member.Alive, 9)}, member.Alive, false, "22"},
	}
	Convey("Given updates about a member", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				table := newTable()
				for _, m := range c.updates {
					table.Apply(m, start)
				}
				got, _ := table.Get("a")
				So(got.State, ShouldEqual, c.want)
				So(got.IsLeaving, ShouldEqual, c.left)
				So(got.Incarnation, ShouldEqual, c.incarnation)
				So(table.NumOthers(), ShouldEqual, 1)
			})
		}
	})
}

// TestSelf guards against a process that is permanently taken for dead, that becomes alive again after it announced its
// shutdown, or that keeps contesting its name with the process that replaced it.
func TestSelf(t *testing.T) {
	later := uint64(start.UnixMilli()) + 7
	cases := map[string]struct {
		update   member.Member
		leave    bool
		after    time.Duration
		want     member.State
		counter  uint64
		replaced bool
	}{
		"suspected":                     {update: vm("self", "bb", member.Suspect, later), want: member.Alive, counter: later + 1},
		"suspected, leaving":            {update: vm("self", "bb", member.Dead, later), leave: true, want: member.Leaving, counter: later + 1},
		"old suspicion":                 {update: vm("self", "bb", member.Dead, 1), want: member.Alive, counter: later - 7},
		"predecessor":                   {update: vm("self", "cc", member.Alive, 1), want: member.Alive, counter: later - 7},
		"predecessor, fast clock":       {update: vm("self", "cc", member.Alive, later), want: member.Alive, counter: later + 1},
		"successor of a paused process": {update: vm("self", "cc", member.Alive, later), after: time.Minute, want: member.Alive, counter: later - 7, replaced: true},
	}
	Convey("Given an update about self", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				table := newTable()
				if c.leave {
					table.Leave()
				}
				table.Apply(c.update, start.Add(c.after))
				So(table.Self().State, ShouldEqual, c.want)
				So(table.Self().Counter, ShouldEqual, c.counter)
				So(table.Replaced(), ShouldEqual, c.replaced)
			})
		}
	})
}

// TestTimes guards against suspects that are declared dead too early or because of a pause of this process, and against
// dead entries that are never removed.
func TestTimes(t *testing.T) {
	Convey("Given a member that fails", t, func() {
		table := newTable()
		table.Apply(vm("a", "11", member.Alive, 1), start)
		_, stale := table.Suspect("a", "22", start)
		So(stale, ShouldBeFalse)
		_, ok := table.Suspect("a", "11", start)
		So(ok, ShouldBeTrue)
		So(table.Tick(start.Add(1400*time.Millisecond)), ShouldBeEmpty)
		table.Resume(start.Add(time.Second))
		So(table.Tick(start.Add(1600*time.Millisecond)), ShouldBeEmpty)
		So(table.Tick(start.Add(2500*time.Millisecond)), ShouldHaveLength, 1)
		So(table.Live(), ShouldHaveLength, 1)
		table.Tick(start.Add(11 * time.Minute))
		So(table.NumOthers(), ShouldEqual, 0)
		table.Apply(vm("a", "11", member.Dead, 1), start.Add(11*time.Minute))
		So(table.NumOthers(), ShouldEqual, 0)
	})
}

// TestList guards against an outdated VM list that revives, removes or permanently marks members.
func TestList(t *testing.T) {
	entry := func(name string, leaving bool) member.Listed {
		return member.Listed{Name: name, Address: name + ":8", PeerAddress: name + ":7", FailureDomain: "d", Leaving: leaving}
	}
	Convey("Given a live, a dead and an unknown VM", t, func() {
		table := newTable()
		table.Apply(vm("a", "11", member.Alive, 1), start)
		table.Apply(vm("b", "11", member.Alive, 1), start)
		table.Apply(vm("b", "11", member.Dead, 1), start)
		table.ApplyList([]member.Listed{entry("b", false), entry("c", false), entry("self", true), {Name: "a:7", PeerAddress: "a:7"}})
		So(table.Live(), ShouldHaveLength, 2)
		So(table.Candidates(9), ShouldHaveLength, 1)
		Convey("a member is marked as leaving for as long as it is listed so", func() {
			table.ApplyList([]member.Listed{entry("a", true)})
			So(table.Live()[0].Usable(), ShouldBeFalse)
			So(table.Candidates(9), ShouldBeEmpty)
			table.ApplyList(nil)
			So(table.Live()[0].Usable(), ShouldBeTrue)
		})
		Convey("a candidate that becomes known under its own name counts once", func() {
			table.ApplyList([]member.Listed{{Name: "b:7", PeerAddress: "b:7"}})
			So(table.Candidates(9), ShouldHaveLength, 1)
			table.Apply(vm("b", "11", member.Alive, 2), start)
			table.ApplyList([]member.Listed{{Name: "b:7", PeerAddress: "b:7"}})
			So(table.Candidates(9), ShouldBeEmpty)
			table.ApplyList([]member.Listed{{Name: "x:7", PeerAddress: "x:7"}})
			table.Apply(member.Member{Name: "x", Incarnation: "11", PeerAddress: "x:7", State: member.Alive, Counter: 1}, start)
			So(table.Candidates(9), ShouldBeEmpty)
		})
	})
}

// TestMaxLive guards against listed VMs that don't count before they have had the time to answer, that count twice, or that
// count for ever although they are gone.
func TestMaxLive(t *testing.T) {
	entry := func(name, address string) member.Listed {
		return member.Listed{Name: name, Address: name + ":8", PeerAddress: address, FailureDomain: "d"}
	}
	pinged := func(address string, times int) func(table *member.Table) {
		return func(table *member.Table) {
			for range times {
				table.RecordPing("a", address, false)
			}
		}
	}
	tests := map[string]struct {
		change func(table *member.Table)
		want   int
	}{
		"not pinged":                  {func(*member.Table) {}, 3},
		"two pings unanswered":        {pinged("a:7", 2), 3},
		"three pings unanswered":      {pinged("a:7", 3), 2},
		"pings to an earlier address": {pinged("old:7", 3), 3},
		"another address after three pings": {func(table *member.Table) {
			pinged("a:7", 3)(table)
			table.ApplyList([]member.Listed{entry("a", "new:7"), entry("b", "b:7")})
		}, 3},
		"listed twice": {func(table *member.Table) {
			table.ApplyList([]member.Listed{entry("a", "a:7"), entry("b", "b:7"), {Name: "a:7", PeerAddress: "a:7"}})
		}, 3},
		"not listed any more":              {func(table *member.Table) { table.ApplyList([]member.Listed{entry("b", "b:7")}) }, 2},
		"answered as itself":               {func(table *member.Table) { table.Apply(vm("a", "11", member.Alive, 1), start) }, 3},
		"answered by a VM of another name": {func(table *member.Table) { table.RecordPing("a", "a:7", true) }, 2},
		"dead": {func(table *member.Table) {
			table.Apply(vm("a", "11", member.Alive, 1), start)
			table.Apply(vm("a", "11", member.Dead, 1), start)
		}, 2},
	}
	for name, test := range tests {
		Convey("Given two listed VMs, "+name, t, func() {
			table := newTable()
			table.ApplyList([]member.Listed{entry("a", "a:7"), entry("b", "b:7")})
			test.change(table)
			So(table.MaxLive(), ShouldEqual, test.want)
		})
	}
}

// TestRound guards against members that are not pinged for a long time because of the random order.
func TestRound(t *testing.T) {
	Convey("Given ten members, each round visits each once", t, func() {
		table := newTable()
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			table.Apply(vm(name, "11", member.Alive, 1), start)
		}
		for range 3 {
			seen := map[string]bool{}
			for range 10 {
				m, ok := table.Next()
				So(ok, ShouldBeTrue)
				seen[m.Name] = true
			}
			So(seen, ShouldHaveLength, 10)
		}
	})
}
