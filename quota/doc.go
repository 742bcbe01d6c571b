// Package quota decides how many requests this VM may send to an upstream that has stated a limit for the whole fleet, that
// leaves or that wants no requests for a time, or that is cold.
//
// A limit is often below one request per second, so an even share of it would let each VM of a large fleet send nothing. It is
// divided among a few VMs of the upstream's failure domain instead, which rendezvous hashing selects without agreement. VMs that
// disagree about the fleet for a while select a few more. That fits into what upstreams tolerate beyond their limit, because
// their number is bounded by the limit, and a VM that is new among them saves up nothing.
//
// An upstream of a service with a warm-up rate may turn cold at any moment. While it is cold, and while no recent health answer shows
// that it isn't, a few VMs share it in the same way; see docs/design/cold-upstreams.md.
package quota
