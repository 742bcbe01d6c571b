package roster_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/grace"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

// TestRemoval guards against upstreams that are dropped because their leases expired in an outage of the store, and
// against draining ones that stay.
func TestRemoval(t *testing.T) {
	start := time.Unix(100, 0)
	tests := map[string]struct {
		draining    bool
		sinceOutage time.Duration // from the end of the outage to the removal; negative without an outage
		after       time.Duration // after the removal
		want        bool
	}{
		"removed without an outage":    {sinceOutage: -1, want: false},
		"expired in an outage":         {sinceOutage: 100 * time.Millisecond, after: time.Second, want: true},
		"expired and not put again":    {sinceOutage: 100 * time.Millisecond, after: grace.Period, want: false},
		"removed long after an outage": {sinceOutage: 3 * time.Second, want: false},
		"drained in an outage":         {sinceOutage: 100 * time.Millisecond, draining: true, want: false},
	}
	for name, test := range tests {
		Convey("Given an upstream "+name, t, func() {
			r := roster.New()
			u := roster.Upstream{ID: "u", Service: "s", Draining: test.draining}
			r.Put(u)
			if test.sinceOutage >= 0 {
				r.BeginGrace(start.Add(-test.sinceOutage))
			}
			r.Replace(nil, start)
			r.Expire(start.Add(test.after))
			So(r.IsUsable(u), ShouldEqual, test.want)
			So(len(r.Usable("s")) == 1, ShouldEqual, test.want)
			r.Put(u)
			So(r.IsUsable(u), ShouldEqual, !test.draining)
		})
	}
}

// TestPartition guards against requests, in the grace period of an outage, to upstreams that left while only this VM could
// not reach the store.
func TestPartition(t *testing.T) {
	Convey("Given nine upstreams of which one left during a partition", t, func() {
		now := time.Unix(100, 0)
		r := roster.New()
		var list []roster.Upstream
		for i := range 9 {
			u := roster.Upstream{ID: string(rune('a' + i)), Service: "s"}
			list = append(list, u)
			r.Put(u)
		}
		r.BeginGrace(now)
		r.Replace(list[1:], now)
		So(r.IsUsable(list[0]), ShouldBeFalse)
		So(len(r.Usable("s")), ShouldEqual, 8)
	})
}

// TestRestart guards against a late entry of an earlier incarnation that replaces that of a later one.
func TestRestart(t *testing.T) {
	Convey("Given an upstream that restarted under the same ID", t, func() {
		r := roster.New()
		first := roster.Upstream{ID: "u", Service: "s", StartedMS: 1}
		r.Put(first)
		second := first
		second.StartedMS = 2
		So(r.Put(second), ShouldBeTrue)
		So(r.IsUsable(first), ShouldBeFalse)
		So(r.Put(first), ShouldBeFalse)
		So(r.IsUsable(second), ShouldBeTrue)
	})
}

// TestOlderEntry guards against requests to an upstream that is draining, while a store restored from an older copy lists it
// as it was before.
func TestOlderEntry(t *testing.T) {
	ready := roster.Upstream{ID: "u", Service: "s", StartedMS: 5}
	draining := ready
	draining.Draining = true
	restarted, unstated := ready, ready
	restarted.StartedMS, unstated.StartedMS = 6, 0
	for name, c := range map[string]struct {
		entry roster.Upstream
		want  bool
	}{
		"of the same incarnation": {ready, false},
		"of a later incarnation":  {restarted, true},
		"without its start":       {unstated, true},
	} {
		Convey("Given a draining upstream and an entry "+name, t, func() {
			for _, put := range []func(*roster.Roster){
				func(r *roster.Roster) { r.Put(c.entry) },
				func(r *roster.Roster) { r.Replace([]roster.Upstream{c.entry}, time.Unix(100, 0)) },
			} {
				r := roster.New()
				r.Put(ready)
				r.Put(draining)
				put(r)
				So(r.IsUsable(c.entry), ShouldEqual, c.want)
				So(len(r.Usable("s")) == 1, ShouldEqual, c.want)
			}
		})
	}
}

// TestManyChanges guards against a sort of all upstreams for each change: a fleet that starts registers a thousand within a
// second, and each VM applies them all.
func TestManyChanges(t *testing.T) {
	Convey("Given a thousand upstreams", t, func() {
		r := roster.New()
		for i := range 1000 {
			r.Put(roster.Upstream{ID: strconv.Itoa(i), Service: "s"})
		}
		started := int64(0)
		perChange := testing.AllocsPerRun(100, func() {
			started++
			r.Put(roster.Upstream{ID: "7", Service: "s", StartedMS: started})
		})
		So(perChange, ShouldBeLessThan, 5)
		So(r.Usable("s"), ShouldHaveLength, 1000)
		r.Remove("8", time.Unix(0, 0))
		So(r.Usable("s"), ShouldHaveLength, 999)
		So(r.Count("s", ""), ShouldEqual, 999)
	})
}
