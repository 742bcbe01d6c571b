// Package topology decides which VM watches the store and which VMs follow which others, without any network or clock.
//
// A few VMs of each failure domain register themselves in the store and are called relays. One relay watches the store. In
// a small fleet all other VMs follow it. In a large one the relays follow it, and the other VMs follow relays of their own
// failure domain, so that most bytes stay within it.
package topology
