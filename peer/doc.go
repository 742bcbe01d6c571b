// Package peer connects entry VMs: a Connect RPC client over HTTP/2 without TLS and the handler that serves it.
package peer
