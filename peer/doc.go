// Package peer is the connection between entry VMs: a connect client over HTTP/2 without TLS and its handler.
package peer
