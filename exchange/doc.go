// Package exchange sends one request to one upstream over HTTP/1.1 and tells what became of it.
//
// A request counts as not run only if no byte of it was written to a connection, or if the upstream says by its
// contract that it refused before running. Connections count the bytes written, so that the claim rests on a fact.
//
// The package keeps the connections itself and writes and reads messages with net/http. The transport of net/http would
// replay requests on broken connections, and hands each request to two goroutines.
package exchange
