// Package crash stops requests that crash upstreams from being sent to further upstreams.
//
// A request that was in progress on an upstream when the upstream died is a suspect. After the deaths of two upstreams,
// the request is quarantined on every VM; the VMs share the deaths through the store. A request that an upstream
// answers is cleared.
//
// Requests have fingerprints of several precisions: of the work, of the caller, and of the headers. Two deaths speak against the
// finest one that their requests share, and an answer clears only the fingerprints of its own request. So other requests for the
// same work neither clear a request that crashes upstreams, nor are they refused with it.
package crash
