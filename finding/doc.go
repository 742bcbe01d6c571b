// Package finding collects faults of an input with their places, so that all of them are reported together.
package finding
