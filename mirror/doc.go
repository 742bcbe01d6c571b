// Package mirror keeps a VM's view of the store up to date: the rules in force, the upstreams and the fleet.
//
// A watch that hears nothing proves nothing, because it may have been cut or may have missed changes. Each watch is
// therefore short, and whatever ends it other than an answer leads to a fresh read.
package mirror
