// Package budget bounds retries to a ratio of the offered requests.
//
// It does no I/O and is not safe for concurrent use.
package budget
