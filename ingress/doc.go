// Package ingress serves callers over HTTP/1.1.
//
// A request is read whole before it is forwarded, and its answer is whole before the first byte of it is sent.
package ingress
