package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

// TestWatchers guards against a fleet in which no VM watches the store, VMs follow each other in a cycle, or the number of
// watches grows as fast as the fleet.
func TestWatchers(t *testing.T) {
	tests := map[string]struct{ vms, watchers int }{
		"one VM":    {1, 1},
		"two VMs":   {2, 1},
		"14 VMs":    {14, 1},
		"111 VMs":   {111, 1},
		"1,000 VMs": {1000, 9},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			var all []*fleet.Fleet
			for i := range test.vms {
				vm := fleet.VM{Name: fmt.Sprintf("vm-%d", i), Incarnation: fmt.Sprint(i * 7919)}
				all = append(all, fleet.New(vm))
			}
			var list []fleet.VM
			for _, f := range all {
				list = append(list, f.Self())
			}
			for _, f := range all {
				f.Replace(list, time.Unix(100, 0))
			}
			watchers := make(map[string]bool)
			for _, f := range all {
				if len(f.Watchers()) == 0 {
					watchers[f.Self().Name] = true
				}
			}
			So(len(watchers), ShouldEqual, test.watchers)
			for _, f := range all {
				if followed := f.Watchers(); len(followed) > 0 {
					So(watchers[followed[0].Name], ShouldBeTrue)
					for _, vm := range followed {
						So(vm.Name, ShouldNotEqual, f.Self().Name)
					}
				}
			}
		})
	}
}

// TestLinkRate guards against a fleet in which a VM with a slow link passes large configurations on to all others.
func TestLinkRate(t *testing.T) {
	Convey("Given VMs with different links", t, func() {
		f := fleet.New(fleet.VM{Name: "slow", Incarnation: "s", LinkRate: 10})
		for i, rate := range []float64{10, 200, 50, 0} {
			f.Put(fleet.VM{Name: fmt.Sprint("vm-", i), Incarnation: fmt.Sprint(i), LinkRate: rate})
		}
		followed := f.Watchers()
		So(followed, ShouldHaveLength, 2)
		So(followed[0].Name, ShouldEqual, "vm-1")
		So(followed[1].Name, ShouldEqual, "vm-2")
	})
}

// TestLeave guards against a VM that leaves and is still listed for callers, and against a series of graceful shutdowns in
// which each VM that leaves watches the store for itself.
func TestLeave(t *testing.T) {
	Convey("Given a VM that leaves", t, func() {
		f := fleet.New(fleet.VM{Name: "a"})
		f.Put(fleet.VM{Name: "b", LinkRate: 10})
		So(f.List(), ShouldHaveLength, 2)
		f.Leave()
		So(f.List(), ShouldResemble, []fleet.VM{{Name: "b", LinkRate: 10}})
		So(f.Watchers(), ShouldResemble, []fleet.VM{{Name: "b", LinkRate: 10}})
	})
	Convey("Given a VM that watches the store for the others and leaves", t, func() {
		f := fleet.New(fleet.VM{Name: "a", LinkRate: 10})
		f.Put(fleet.VM{Name: "b"})
		f.Leave()
		So(f.Watchers(), ShouldBeEmpty)
	})
}
