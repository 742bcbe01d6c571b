// Package split distributes requests among weighted parts.
package split
