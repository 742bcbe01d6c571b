package kernel_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/kernel"
)

type recorder struct {
	name string
	log  *[]string
	fail bool
}

func (r *recorder) Start(context.Context) error {
	*r.log = append(*r.log, "start "+r.name)
	if r.fail {
		return errors.New("no")
	}
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

// TestStartFailure guards against services that keep running after a later one failed to start.
func TestStartFailure(t *testing.T) {
	Convey("Given three services of which the third fails to start", t, func() {
		var log []string
		k := kernel.New()
		k.Register("a", &recorder{name: "a", log: &log})
		k.Register("b", &recorder{name: "b", log: &log})
		k.Register("c", &recorder{name: "c", log: &log, fail: true})
		err := k.Start(context.Background())
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "start c")
		So(log, ShouldResemble, []string{"start a", "start b", "start c", "stop b", "stop a"})
	})
}

// TestLookup guards against a service that is found under a wrong name or type.
func TestLookup(t *testing.T) {
	Convey("Given one service", t, func() {
		k := kernel.New()
		k.Register("a", &recorder{name: "a", log: new([]string)})
		got, err := kernel.Lookup[*recorder](k, "a")
		So(err, ShouldBeNil)
		So(got.name, ShouldEqual, "a")
		_, err = kernel.Lookup[*recorder](k, "b")
		So(err, ShouldNotBeNil)
		_, err = kernel.Lookup[*kernel.Kernel](k, "a")
		So(err, ShouldNotBeNil)
	})
}

// TestStopReleasesStart guards against a Start that waits only for its context, which kratos does not cancel on stop.
func TestStopReleasesStart(t *testing.T) {
	Convey("Given a running kernel", t, func() {
		k := kernel.New()
		k.Register("a", &recorder{name: "a", log: new([]string)})
		done := make(chan error, 1)
		go func() { done <- k.Start(context.Background()) }()
		<-k.Running()
		So(k.Stop(context.Background()), ShouldBeNil)
		So(<-done, ShouldBeNil)
	})
}
