// Package platform is an in-memory stand-in of the platform: a key-value store and a VM list over HTTP.
//
// Faults are set in Go or by PUT /control/faults. It is for tests and the demo only.
package platform
