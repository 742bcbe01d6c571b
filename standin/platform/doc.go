// Package platform is an in-memory stand-in for the platform, a key-value store and a VM list over HTTP, for tests and
// the demo only.
//
// Faults are injected by SetFaults or by PUT /control/faults.
package platform
