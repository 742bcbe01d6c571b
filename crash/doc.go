// Package crash stops requests that crash upstreams from being sent to further upstreams.
//
// A request that was in progress on an upstream when the upstream died is a suspect. After the deaths of two upstreams,
// the request is quarantined on every VM; the VMs share deaths and answers through the store. A request that an upstream
// answers is cleared.
//
// Requests have fingerprints of several precisions: of the work, of the caller, and of the headers; and each header is a feature. Two
// deaths speak against the finest fingerprint that their requests share, and against features. An answer clears only what its own
// request has. So other requests for the same work neither clear a request that crashes upstreams, nor are they refused with it: one that
// lacks what explains the same deaths is tried.
//
// An upstream that closes its connections and refuses new ones has died. So has one that doesn't answer, sends nothing more and whose
// entry ends.
package crash
