// Package ledger records the used keys of one incarnation of an entry VM until they expire, so that a key starts at
// most one request. It is safe for concurrent use. Methods that depend on the time take it as a parameter.
package ledger
