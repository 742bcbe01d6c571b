package quarantine_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/quarantine"
)

// TestLevel guards against a death that is counted twice, a quarantine caused by deaths too far apart, a quarantine that
// does not expire, and a level that depends on the order in which deaths arrive.
func TestLevel(t *testing.T) {
	type death struct {
		id uint64
		at int
	}
	cases := map[string]struct {
		deaths []death
		now    int
		want   quarantine.Level
	}{
		"none":               {nil, 100, quarantine.Clear},
		"one":                {[]death{{1, 0}}, 59, quarantine.Suspect},
		"one expired":        {[]death{{1, 0}}, 60, quarantine.Clear},
		"one twice":          {[]death{{1, 0}, {1, 1}}, 2, quarantine.Suspect},
		"two":                {[]death{{1, 0}, {2, 60}}, 119, quarantine.Quarantined},
		"two expired":        {[]death{{1, 0}, {2, 60}}, 120, quarantine.Clear},
		"two far apart":      {[]death{{1, 0}, {2, 61}}, 62, quarantine.Suspect},
		"two out of order":   {[]death{{2, 60}, {1, 0}}, 119, quarantine.Quarantined},
		"three out of order": {[]death{{3, 50}, {1, 0}, {2, 40}}, 109, quarantine.Quarantined},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			start := time.Unix(1000, 0)
			now := start.Add(time.Duration(c.now) * time.Second)
			table, peer := quarantine.New(4), quarantine.New(4)
			for _, d := range c.deaths {
				table.Add(7, d.id, start.Add(time.Duration(d.at)*time.Second), now)
			}
			So(table.Level(7, now), ShouldEqual, c.want)
			for _, e := range table.Entries(now) {
				So(peer.Add(e.Fingerprint, e.Death, e.At, now), ShouldBeTrue)
				So(table.Add(e.Fingerprint, e.Death, e.At, now), ShouldBeFalse)
			}
			So(peer.Level(7, now), ShouldEqual, c.want)
		})
	}
}

// TestLimit guards against a table that grows beyond its limit or drops a quarantined fingerprint for a new suspect.
func TestLimit(t *testing.T) {
	Convey("Given a table with a limit of two and one quarantined fingerprint", t, func() {
		now := time.Unix(1000, 0)
		table := quarantine.New(2)
		table.Add(1, 1, now, now)
		table.Add(1, 2, now, now)
		for f := uint64(2); f < 100; f++ {
			So(table.Add(f, f, now.Add(time.Duration(f)), now.Add(time.Second)), ShouldBeTrue)
		}
		So(table.Level(1, now), ShouldEqual, quarantine.Quarantined)
		So(len(table.Entries(now.Add(time.Second))), ShouldEqual, 3)
	})
}
