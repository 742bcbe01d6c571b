// Package exchange sends one request to one upstream over HTTP/1.1 and returns the result.
//
// A request counts as not run only if no byte of it was written to a connection, or if the upstream states according to
// the protocol that it refused the request before running it. Connections count the bytes written to decide the former.
//
// The package manages the connections itself, and writes and reads messages with net/http. It doesn't use the transport of
// net/http, which replays requests after broken connections and hands each request to two goroutines.
package exchange
