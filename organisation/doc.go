// Package organisation holds the organisations whose callers the system serves, and finds the one that holds a key.
//
// A directory doesn't keep the text of keys. It keeps their hashes under a random secret of the process, so that neither a dump
// of a directory nor the time of a look-up tells anything about a key.
package organisation
