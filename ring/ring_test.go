package ring_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/ring"
)

// TestRing guards against a ring that drops or reorders items, or that blocks where it must refuse an item.
func TestRing(t *testing.T) {
	Convey("Given a ring with room for two items", t, func() {
		r := ring.New[int](2)
		So(r.Offer(1), ShouldBeTrue)
		So(r.Offer(2), ShouldBeTrue)
		Convey("a third item is refused at once", func() {
			So(r.Offer(3), ShouldBeFalse)
			So(r.Len(), ShouldEqual, 2)
		})
		Convey("items leave in order", func() {
			So(<-r.Items(), ShouldEqual, 1)
			So(<-r.Items(), ShouldEqual, 2)
		})
		Convey("Put returns false when done is closed", func() {
			done := make(chan struct{})
			close(done)
			So(r.Put(done, 3), ShouldBeFalse)
		})
	})
}
