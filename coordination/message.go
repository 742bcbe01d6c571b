package coordination

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/aggregate"
	"github.com/fulmarhitch/fulmarhitch/fleet"
)

// Request is a report of a VM to a relay, or of a relay to the coordinator.
type Request struct {
	aggregate.Report
	// IsRelay reports whether the report is one of a relay to the coordinator.
	IsRelay bool
	// IsProbe reports whether the call only tests whether the receiver can be reached.
	IsProbe bool
	// IsPush reports whether this is no report, but brings new shares to a VM that reports to the sender.
	IsPush bool
	Shares []Share
	// Reports is the number of reports of VMs since the relay's last report, and VMs that of the VMs that report to it.
	Reports, VMs int
}

// Share is the part of an organisation's offered requests that may be admitted.
type Share struct {
	ID    uint64
	Value float64
}

// Part is the part of an organisation's demand that a relay's VMs have.
type Part = Share

// Answer is the answer to a report.
type Answer struct {
	// IsUnknown reports that the receiver needs a whole report.
	IsUnknown bool
	// IsDecided reports whether Shares is valid; a coordinator that has just started has heard too few relays yet.
	IsDecided bool
	// Shares are those of organisations near their limits.
	Shares []Share
	// Parts are the relay's parts of the organisations that it reported.
	Parts []Part
}

// Call is a call to make.
type Call struct {
	To      fleet.VM
	Request Request
	// sent is the time of the call, revision that of the counts in the request, and isFull reports whether the request has all
	// changes up to it.
	sent     time.Time
	revision uint64
	isFull   bool
	role     role
}
