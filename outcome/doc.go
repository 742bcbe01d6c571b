// Package outcome defines the possible outcomes of a request and their reasons.
package outcome
