package quota

import (
	"math"
	"time"
)

// Unlimited is the number of requests that may be sent to an upstream without a limit.
const Unlimited = math.MaxInt

// Never is the wait for an upstream to which this VM may send nothing as things are. Times may be added to it.
const Never = time.Duration(math.MaxInt64 / 2)

// Permit is what this VM may send to an upstream at one moment.
type Permit struct {
	// Requests is the number of requests that may be sent at once, or Unlimited.
	Requests int
	// Wait is the time until a request may be sent, or Never; it is 0 if one may be sent now.
	Wait time.Duration
	// FleetRate is the number of requests per second that the fleet may send while this VM may not send any, or 0.
	FleetRate float64
	// PollDue reports whether the upstream should be polled to learn whether its limit has ended.
	PollDue bool
	// IsCold reports whether the warm-up rate of a cold upstream keeps this VM from sending.
	IsCold bool
	// WarmAt is the time at which an upstream of a service with a warm-up rate reaches its full speed, or zero.
	WarmAt time.Time
}
