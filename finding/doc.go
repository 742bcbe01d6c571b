// Package finding represents the errors in an input with their positions, so that all of them are reported together.
package finding
