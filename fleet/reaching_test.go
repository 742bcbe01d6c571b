package fleet_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/fleet"
)

// TestReaching guards against callers that are sent to VMs that reach no upstream, to none at all, or to so few that these are
// overloaded, at all sizes of the fleet.
func TestReaching(t *testing.T) {
	tests := map[string]struct {
		vms, domains int
		// cutOff is the share of the VMs of the callers' failure domain that are cut off, and cutOffElsewhere that of the others.
		cutOff, cutOffElsewhere float64
		local, remote           int
	}{
		"14 VMs, none cut off":                 {14, 2, 0, 0, 7, 0},
		"14 VMs, some cut off":                 {14, 2, 0.5, 0.5, 4, 0},
		"14 VMs, a failure domain":             {14, 2, 1, 0, 0, 7},
		"14 VMs, most of one":                  {14, 2, 0.8, 0, 2, 7},
		"14 VMs, all":                          {14, 2, 1, 1, 7, 0},
		"3,000 VMs, some cut off":              {3000, 8, 0.6, 0.6, 150, 0},
		"3,000 VMs, most of a failure domain":  {3000, 8, 0.8, 0, 75, 2625},
		"3,000 VMs, a failure domain":          {3000, 8, 1, 0, 0, 2625},
		"3,000 VMs, all but a failure domain":  {3000, 8, 0, 1, 375, 0},
		"3,000 VMs, all but few in other ones": {3000, 8, 1, 0.96, 0, 105},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			var vms []fleet.VM
			perDomain := test.vms / test.domains
			for i := range test.vms {
				domain, index := i/perDomain, i%perDomain
				share := test.cutOffElsewhere
				if domain == 0 {
					share = test.cutOff
				}
				vms = append(vms, fleet.VM{
					Name: fmt.Sprint(i), FailureDomain: fmt.Sprint(domain), Serving: true, CutOff: index < int(share*float64(perDomain)),
				})
			}
			local, remote := 0, 0
			list := fleet.Reaching(vms, "0")
			for _, vm := range list {
				if vm.FailureDomain == "0" {
					local++
				} else {
					remote++
				}
			}
			So(local, ShouldEqual, test.local)
			So(remote, ShouldEqual, test.remote)
			if local > 0 {
				So(list[0].FailureDomain, ShouldEqual, "0")
			}
		})
	}
}

// TestSharers guards against limits of which parts lie idle at VMs that reach no upstream, and against VMs that take the parts of
// others when no VM reaches any.
func TestSharers(t *testing.T) {
	for _, n := range []int{14, 3000} {
		Convey(fmt.Sprintf("Given %d VMs of which all but three are cut off", n), t, func() {
			f := fleet.New(fleet.VM{Name: "self", FailureDomain: "a"})
			var vms []fleet.VM
			for i := range n - 1 {
				vms = append(vms, fleet.VM{Name: fmt.Sprint(i), FailureDomain: "a", Serving: true, CutOff: i >= 2})
			}
			f.SetPresent(vms)
			f.SetState(true, false)
			count, local := f.Sharers()
			So(count, ShouldEqual, 3)
			So(local, ShouldEqual, 3)
			f.SetState(true, true)
			count, _ = f.Sharers()
			So(count, ShouldEqual, n)
		})
	}
}
