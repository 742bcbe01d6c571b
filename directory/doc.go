// Package directory chooses the VMs that a caller may connect to.
package directory
