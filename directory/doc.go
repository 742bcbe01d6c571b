// Package directory decides which VMs a caller is told to connect to.
package directory
