package directory_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/directory"
	"github.com/fulmarhitch/fulmarhitch/fleet"
)

// TestNew guards against answers that cross failure domains without need or leave a caller a single VM.
func TestNew(t *testing.T) {
	tests := map[string]struct {
		near, far int
		want      int
		first     string
	}{
		"enough near":  {near: 3, far: 4, want: 3, first: "near-0"},
		"a single one": {near: 1, far: 4, want: 5, first: "near-0"},
		"none near":    {far: 4, want: 4, first: "far-0"},
		"many":         {near: 100, want: directory.MaxAddresses, first: "near-0"},
	}
	for name, test := range tests {
		Convey("Given VMs: "+name, t, func() {
			var vms []fleet.VM
			for i := range test.far {
				vms = append(vms, fleet.VM{Address: fmt.Sprintf("far-%d", i), FailureDomain: "b"})
			}
			for i := range test.near {
				vms = append(vms, fleet.VM{Address: fmt.Sprintf("near-%d", i), FailureDomain: "a"})
			}
			a := directory.New(vms, "a", time.Second)
			So(a.Addresses, ShouldHaveLength, test.want)
			So(a.Addresses[0], ShouldEqual, test.first)
		})
	}
}
