// Package gate admits the requests of organisations at one VM, by the share that the fleet's coordinator has decided.
//
// While no share is valid, a VM admits its own part of each limit. That part is often below one request in the window, so it
// starts at a random fraction of a request: the VMs together then admit the limit.
package gate
