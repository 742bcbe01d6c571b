// Package head bounds the memory that the heads of requests take in a process, and the connections on which they arrive.
//
// It stands between the sockets and an HTTP server of net/http, which parses the heads and by itself bounds only the bytes of each.
// A header line takes far more memory than its bytes, so the package counts both, before the HTTP server parses them.
package head
