// Package configsync keeps the configuration of one VM up to date: from the store if the VM is a watcher, otherwise from
// its peers.
package configsync
