package allotment_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/allotment"
)

// TestPolls guards against polls of an upstream that exceed the limit of the fleet, and against VMs of a large fleet that
// have to choose by old reports: at a few requests a second they poll each upstream of their subset about twice a second.
func TestPolls(t *testing.T) {
	tests := map[string]struct {
		vms, domains, nearUpstreams int
		limit, least                float64
	}{
		"14 VMs":                     {14, 3, 7, 60, 4},
		"116 VMs, 63 near upstreams": {116, 3, 63, 42, 2},
		"472 VMs, 120 near ones":     {472, 5, 120, 60, 2},
		"3,000 VMs, 300 near ones":   {3000, 8, 300, 60, 1},
	}
	const subset = 16
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			local := test.vms / test.domains
			f := allotment.Fleet{VM: "a", VMs: test.vms, LocalVMs: local}
			near, far := f.Polls(test.limit, true, test.nearUpstreams, subset), f.Polls(test.limit, false, test.nearUpstreams, subset)
			So(near, ShouldBeGreaterThanOrEqualTo, test.least)
			used := min(1, float64(subset)/float64(test.nearUpstreams))
			So(near*float64(local)*used+far*float64(test.vms-local), ShouldBeLessThanOrEqualTo, test.limit)
		})
	}
}

// TestBurst guards against a fleet that saves up more retries than it may, and against one so large that no VM may ever
// retry.
func TestBurst(t *testing.T) {
	for name, test := range map[string]struct {
		vms   int
		limit float64
	}{"14 VMs": {14, 58}, "116 VMs": {116, 186}, "472 VMs": {472, 630}, "3,000 VMs": {3000, 630}} {
		Convey("Given "+name, t, func() {
			retried := make(map[string]bool)
			for period := range 100 {
				now, total := time.Unix(int64(1000+10*period), 0), 0.0
				for i := range test.vms {
					vm := fmt.Sprint("vm-", i)
					n := allotment.Fleet{VM: vm, VMs: test.vms}.Burst(test.limit, now)
					total += n
					if n >= 1 {
						retried[vm] = true
					}
				}
				So(total, ShouldBeLessThanOrEqualTo, test.limit)
				So(total, ShouldBeGreaterThan, test.limit/2)
			}
			So(retried, ShouldHaveLength, test.vms)
		})
	}
}
