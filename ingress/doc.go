// Package ingress serves callers over HTTP/1.1.
//
// The server reads a whole request before it forwards it, and receives the whole answer before it sends the first byte of
// it to the caller.
package ingress
