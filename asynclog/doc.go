// Package asynclog writes log lines as JSON without blocking its callers.
//
// Lines with the same message are limited in rate; the next line written with that message states how many were
// suppressed. A separate goroutine writes the lines from a bounded ring; if the output is blocked, lines are dropped and counted.
package asynclog
