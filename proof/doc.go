// Package proof holds tests that show on whole entry VMs and on real processes that callers are told true outcomes
// and that a non-idempotent request runs at most once.
package proof
