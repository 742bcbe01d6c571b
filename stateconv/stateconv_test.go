package stateconv_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/stateconv"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// TestStates guards against a state that changes its meaning between VMs.
func TestStates(t *testing.T) {
	Convey("Each state comes back from its event", t, func() {
		for _, s := range []upstream.State{upstream.Ready, upstream.Cold, upstream.Draining, upstream.Failing} {
			So(stateconv.OfEvent(stateconv.Event("s", "u", s).GetUpstream().GetState()), ShouldEqual, s)
		}
	})
}
