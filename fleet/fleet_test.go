package fleet_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

// TestLeave guards against a VM that leaves and is still listed for callers.
func TestLeave(t *testing.T) {
	Convey("Given a VM that leaves", t, func() {
		f := fleet.New(fleet.VM{Name: "a"})
		f.Put(fleet.VM{Name: "b", LinkRate: 10})
		So(f.List(), ShouldHaveLength, 2)
		f.Leave()
		So(f.List(), ShouldResemble, []fleet.VM{{Name: "b", LinkRate: 10, Serving: true}})
	})
}

// TestPresent guards against VMs that are missing because they aren't registered in the store, and against an older entry
// in the store that hides what a VM says of itself.
func TestPresent(t *testing.T) {
	Convey("Given VMs that are registered, present or both", t, func() {
		f := fleet.New(fleet.VM{Name: "a"})
		f.Put(fleet.VM{Name: "b", Incarnation: "old"})
		f.Put(fleet.VM{Name: "c"})
		f.SetPresent([]fleet.VM{{Name: "a", Incarnation: "old"}, {Name: "b", Incarnation: "new"}, {Name: "d", Serving: true}})
		So(f.List(), ShouldResemble, []fleet.VM{
			{Name: "a"}, {Name: "b", Incarnation: "new"}, {Name: "c", Serving: true}, {Name: "d", Serving: true},
		})
		So(f.Relays(), ShouldHaveLength, 2)
		So(f.IsRelay(), ShouldBeFalse)
	})
}

// TestSize guards against a VM that has just started and takes a large share of the fleet's limits because it knows no
// other VM yet.
func TestSize(t *testing.T) {
	Convey("Given a store that states 400 VMs", t, func() {
		f := fleet.New(fleet.VM{Name: "a"})
		f.SetStoredSize(400)
		vms, _ := f.Sharers()
		So(vms, ShouldEqual, 400)
		f.SetPresent([]fleet.VM{{Name: "b"}, {Name: "c", FailureDomain: "other"}})
		vms, local := f.Sharers()
		So(vms, ShouldEqual, 3)
		So(local, ShouldEqual, 2)
	})
}

// TestConfirmed guards against VMs that are still named although only a registration speaks for them that may have ended, and against
// VMs that are not named because the VMs haven't listed themselves yet.
func TestConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		change func(f *fleet.Fleet)
		want   []string
	}{
		"the store answers":           {func(*fleet.Fleet) {}, []string{"other", "registered", "self"}},
		"the store doesn't answer":    {func(f *fleet.Fleet) { f.SetStale(true) }, []string{"other", "self"}},
		"the store answers again":     {func(f *fleet.Fleet) { f.SetStale(true); f.SetStale(false) }, []string{"other", "registered", "self"}},
		"no list of the VMs yet":      {func(f *fleet.Fleet) { f.SetStale(true); f.SetPresent(nil) }, []string{"other", "registered", "self"}},
		"registration ended in grace": {func(f *fleet.Fleet) { f.BeginGrace(now); f.Remove("registered", now) }, []string{"other", "self"}},
		"a VM is no longer listed":    {func(f *fleet.Fleet) { f.SetPresent([]fleet.VM{{Name: "self"}}) }, []string{"registered", "self"}},
		"a VM is listed again": {func(f *fleet.Fleet) {
			f.SetPresent([]fleet.VM{{Name: "self"}})
			f.SetPresent([]fleet.VM{{Name: "self"}, {Name: "other"}})
		}, []string{"other", "registered", "self"}},
		"a VM is no longer listed and registers again": {func(f *fleet.Fleet) {
			f.SetPresent([]fleet.VM{{Name: "self"}})
			f.Put(fleet.VM{Name: "other", Incarnation: "next"})
		}, []string{"other", "registered", "self"}},
		"listed VM, ended in grace": {func(f *fleet.Fleet) { f.BeginGrace(now); f.Remove("other", now) }, []string{"other", "registered", "self"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(fleet.VM{Name: "self"})
			f.Put(fleet.VM{Name: "registered"})
			f.Put(fleet.VM{Name: "other"})
			f.SetPresent([]fleet.VM{{Name: "self"}, {Name: "other"}})
			test.change(f)
			var got []string
			for _, vm := range f.Confirmed() {
				got = append(got, vm.Name)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("%v, want %v", got, test.want)
			}
			if n, _ := f.Sharers(); n != 3 {
				t.Errorf("%d VMs share the limits, want 3", n)
			}
		})
	}
}
