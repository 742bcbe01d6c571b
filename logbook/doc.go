// Package logbook writes JSON lines without ever making its callers wait.
//
// Lines of one kind are limited in rate; the next line that is written tells how many were left out. Lines wait in a
// bounded ring for a writer of their own and are dropped, and counted, if the output is blocked.
package logbook
