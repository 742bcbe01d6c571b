package directory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/directory"
	"github.com/fulmarhitch/fulmarhitch/fleet"
)

// TestNew guards against answers that cross failure domains without need or hold only a single VM.
func TestNew(t *testing.T) {
	tests := map[string]struct {
		local, remote int
		want          int
		first         string
	}{
		"enough local": {local: 3, remote: 4, want: 3, first: "local-0"},
		"a single one": {local: 1, remote: 4, want: 5, first: "local-0"},
		"none local":   {remote: 4, want: 4, first: "remote-0"},
		"many":         {local: 100, want: directory.MaxAddresses},
	}
	for name, test := range tests {
		Convey("Given VMs: "+name, t, func() {
			var vms []fleet.VM
			for i := range test.remote {
				vms = append(vms, fleet.VM{Address: fmt.Sprintf("remote-%d", i), FailureDomain: "b", Serving: true})
			}
			for i := range test.local {
				vms = append(vms, fleet.VM{Address: fmt.Sprintf("local-%d", i), FailureDomain: "a", Serving: true})
			}
			a := directory.New(vms, "a", "caller", time.Second)
			So(a.Addresses, ShouldHaveLength, test.want)
			if test.first != "" {
				So(a.Addresses[0], ShouldEqual, test.first)
			}
		})
	}
}

// TestNotServing guards against callers that are sent to VMs that can't serve them yet.
func TestNotServing(t *testing.T) {
	Convey("Given VMs of which some don't serve callers", t, func() {
		a := directory.New([]fleet.VM{
			{Address: "starting", FailureDomain: "a"}, {Address: "near", FailureDomain: "a", Serving: true},
			{Address: "remote", FailureDomain: "b", Serving: true},
		}, "a", "caller", time.Second)
		So(a.Addresses, ShouldResemble, []string{"near", "remote"})
	})
}

// TestSpread guards against VMs of a large failure domain that no caller is sent to, and against callers that get other
// VMs, and so new connections, whenever a VM comes or goes.
func TestSpread(t *testing.T) {
	Convey("Given a failure domain with more VMs than an answer holds", t, func() {
		var vms []fleet.VM
		for i := range 100 {
			vms = append(vms, fleet.VM{Address: fmt.Sprintf("vm-%d", i), FailureDomain: "a", Serving: true})
		}
		listed := make(map[string]int)
		for i := range 200 {
			caller := fmt.Sprintf("caller-%d", i)
			before := directory.New(vms, "a", caller, time.Second).Addresses
			after := directory.New(vms[1:], "a", caller, time.Second).Addresses
			kept := 0
			for _, address := range before {
				listed[address]++
				if slices.Contains(after, address) {
					kept++
				}
			}
			So(kept, ShouldBeGreaterThanOrEqualTo, directory.MaxAddresses-1)
		}
		So(listed, ShouldHaveLength, 100)
	})
}
