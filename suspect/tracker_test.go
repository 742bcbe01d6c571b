package suspect_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/quarantine"
	"github.com/fulmarhitch/fulmarhitch/suspect"
)

// TestTracker guards against one death that counts twice, deaths that peers don't learn, and innocent requests that
// stay suspected.
func TestTracker(t *testing.T) {
	start := time.Now()
	Convey("Given two trackers that tell each other their events", t, func() {
		var told []*peerpb.SuspectEvent
		here := suspect.New(func(e *peerpb.Event) { told = append(told, e.GetSuspect()) })
		there := suspect.New(func(*peerpb.Event) {})
		tell := func() {
			for _, e := range told {
				there.Take(e)
			}
		}
		here.Died(7, "s", "u1", start)
		Convey("broken requests of one death count once", func() {
			here.Died(7, "s", "u1", start.Add(time.Millisecond))
			So(here.Level(7, start), ShouldEqual, quarantine.Suspect)
			So(len(told), ShouldEqual, 1)
		})
		Convey("two deaths quarantine it at both", func() {
			here.Died(7, "s", "u2", start.Add(time.Second))
			tell()
			So(here.Level(7, start.Add(time.Second)), ShouldEqual, quarantine.Quarantined)
			So(there.Level(7, start.Add(time.Second)), ShouldEqual, quarantine.Quarantined)
			here.Answered(7, start.Add(time.Second))
			So(here.Level(7, start.Add(time.Second)), ShouldEqual, quarantine.Quarantined)
		})
		Convey("the deaths of two VMs add up", func() {
			there.Died(7, "s", "u2", start.Add(time.Second))
			tell()
			So(there.Level(7, start.Add(time.Second)), ShouldEqual, quarantine.Quarantined)
		})
		Convey("an answered suspect is clear", func() {
			here.Answered(7, start)
			So(here.Level(7, start), ShouldEqual, quarantine.Clear)
		})
	})
}
