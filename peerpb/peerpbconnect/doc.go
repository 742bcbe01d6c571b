// Package peerpbconnect holds the generated connect-go client and handler of the protocol between entry VMs.
package peerpbconnect
