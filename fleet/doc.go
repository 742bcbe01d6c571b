// Package fleet holds the VMs of the system: those that are registered in the store, and those that the VMs list among
// themselves.
package fleet
