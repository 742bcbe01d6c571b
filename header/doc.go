// Package header names the HTTP headers of the protocols and tells which headers end at each hop.
package header
