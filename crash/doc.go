// Package crash stops requests that crash upstreams from being sent to further upstreams.
//
// A request that was in progress on an upstream when the upstream died is a suspect. After the deaths of two upstreams,
// the request is quarantined on every VM; the VMs share the deaths through the store. A request that an upstream
// answers is cleared.
package crash
