// Package reader brings the configuration to one VM: from the store if the VM is a reader, else from its peers.
package reader
