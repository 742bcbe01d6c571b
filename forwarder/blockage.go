package forwarder

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/quota"
)

// minRetryAfter is the shortest delay after which a request may return that the limits of the upstreams kept back. Another VM may
// have a share of them.
const minRetryAfter = 30 * time.Millisecond

// blockage is what keeps this VM from sending a request to upstreams that have stated a limit or a pause, or that leave.
type blockage struct {
	// isAny reports whether there are such upstreams, and isAll whether there are no others.
	isAny, isAll bool
	// wait is the time until this VM may send to one of them, or quota.Never.
	wait time.Duration
	// fleetRate is the number of requests per second that the fleet may send to them.
	fleetRate float64
}

// add adds an upstream that this VM may not send to.
func (b *blockage) add(p quota.Permit) {
	b.isAny = true
	b.wait = min(b.wait, p.Wait)
	b.fleetRate += p.FleetRate
}

// retryAfter returns the delay after which a VM may be able to send the request, or 0 if it isn't known.
func (b *blockage) retryAfter() time.Duration {
	wait := b.wait
	if b.fleetRate > 0 {
		wait = min(wait, time.Duration(min(float64(time.Second)/b.fleetRate, float64(quota.Never))))
	}
	if wait == quota.Never {
		return 0
	}
	return max(wait, minRetryAfter)
}
