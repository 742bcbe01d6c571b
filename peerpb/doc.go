// Package peerpb holds the generated messages of the protocol between entry VMs.
package peerpb
