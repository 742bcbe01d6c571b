// Package header names the HTTP headers of the protocols and filters the headers that must not pass a hop.
package header
