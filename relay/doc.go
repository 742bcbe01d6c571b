// Package relay passes what one VM hears from the store on to the VMs of its failure domain.
//
// Only a few VMs then watch the store, whose rates grow more slowly than the fleet. A VM that follows another one learns
// with each answer how long ago that one heard the store, and turns to the store itself if that is too long.
package relay
