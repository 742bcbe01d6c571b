// Package fleet holds the VMs of the system as they register themselves in the store.
package fleet
