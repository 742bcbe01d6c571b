// Package fleet holds the VMs that are registered in the store.
package fleet
