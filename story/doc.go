// Package story tells what became of one request from the logs of several VMs.
package story
