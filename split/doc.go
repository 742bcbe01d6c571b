// Package split distributes the requests of a rule among services by weight.
package split
