// Package proof tests, on whole entry VMs and on real processes, that callers get correct outcomes and that a
// non-idempotent request runs at most once.
package proof
