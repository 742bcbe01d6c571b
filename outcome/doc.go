// Package outcome tells what became of a request.
package outcome
