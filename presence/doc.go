// Package presence lists the VMs of the fleet from what they report to the VMs that they follow.
//
// A VM reports itself and the VMs that follow it. The VM that watches the store gathers these reports into the list of the
// fleet, and the list passes back on the same calls. The store isn't involved, so that its calls don't grow with the fleet.
package presence
