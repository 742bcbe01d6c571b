// Package relay passes the store's entries and changes from one VM on to the VMs that follow it.
//
// Only a few VMs then watch the store, so that its rate of calls grows more slowly than the fleet. Each answer states the
// time since the followed VM's last contact with the store; a follower calls the store itself if that is too long.
package relay
