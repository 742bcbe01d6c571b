package directory_test

import (
	"fmt"
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
		"many":         {local: 100, want: directory.MaxAddresses, first: "local-0"},
	}
	for name, test := range tests {
		Convey("Given VMs: "+name, t, func() {
			var vms []fleet.VM
			for i := range test.remote {
				vms = append(vms, fleet.VM{Address: fmt.Sprintf("remote-%d", i), FailureDomain: "b"})
			}
			for i := range test.local {
				vms = append(vms, fleet.VM{Address: fmt.Sprintf("local-%d", i), FailureDomain: "a"})
			}
			a := directory.New(vms, "a", time.Second)
			So(a.Addresses, ShouldHaveLength, test.want)
			So(a.Addresses[0], ShouldEqual, test.first)
		})
	}
}
