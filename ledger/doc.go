// Package ledger records the used keys of one incarnation of an entry VM until they expire, so that a key starts at
// most one request. Its methods are safe for concurrent use and take the current time as a parameter.
package ledger
