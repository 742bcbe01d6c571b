// Package mirror keeps a VM's view of the store up to date: the rules in force, the upstreams and the fleet.
//
// A watch that returns no changes doesn't show that there are none: its connection may be broken, or it may have missed
// changes. Each watch is therefore short, and if a watch of the store ends without an answer, all entries are read again.
package mirror
