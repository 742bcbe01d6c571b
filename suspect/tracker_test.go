package suspect_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/quarantine"
	"github.com/fulmarhitch/fulmarhitch/suspect"
)

// TestTracker guards against a death that counts twice, deaths that do not reach peers, and harmless requests that stay
// suspected.
func TestTracker(t *testing.T) {
	start := time.Now()
	Convey("Given two trackers, the first of which publishes its events to the second", t, func() {
		var published []*peerpb.SuspectEvent
		local := suspect.New(func(e *peerpb.Event) { published = append(published, e.GetSuspect()) })
		remote := suspect.New(func(*peerpb.Event) {})
		deliver := func() {
			for _, e := range published {
				remote.AddRemote(e)
			}
		}
		local.RecordDeath(7, "s", "u1", start)
		Convey("two failures of a request within one death count once", func() {
			local.RecordDeath(7, "s", "u1", start.Add(time.Millisecond))
			So(local.Level(7, start), ShouldEqual, quarantine.Suspect)
			So(len(published), ShouldEqual, 1)
		})
		Convey("two deaths quarantine the request on both VMs", func() {
			local.RecordDeath(7, "s", "u2", start.Add(time.Second))
			deliver()
			So(local.Level(7, start.Add(time.Second)), ShouldEqual, quarantine.Quarantined)
			So(remote.Level(7, start.Add(time.Second)), ShouldEqual, quarantine.Quarantined)
			local.Answered(7, start.Add(time.Second))
			So(local.Level(7, start.Add(time.Second)), ShouldEqual, quarantine.Quarantined)
		})
		Convey("the deaths of two VMs add up", func() {
			remote.RecordDeath(7, "s", "u2", start.Add(time.Second))
			deliver()
			So(remote.Level(7, start.Add(time.Second)), ShouldEqual, quarantine.Quarantined)
		})
		Convey("a suspected request that is answered is cleared", func() {
			local.Answered(7, start)
			So(local.Level(7, start), ShouldEqual, quarantine.Clear)
		})
	})
}
