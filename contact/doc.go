// Package contact determines whether a VM reaches upstreams at all.
//
// A single upstream, or all of a service, may fail for every VM. A VM that gets no answer from any upstream, or can't open a
// connection to any, is cut off itself if other VMs still reach them. The evidence comes from the polls and connections of the
// requests that the VM serves; probes on new connections confirm it and show when the contact is back.
package contact
