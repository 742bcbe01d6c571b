// Package keepalive closes connections that stay idle between two requests without losing a request, and tells which callers
// have closed theirs.
//
// A server that closes an idle connection can't know whether a request is on its way. Two things keep requests from being
// lost: callers are told how long they may use a connection, and a connection isn't closed but its pending read is ended,
// which only has an effect if no byte of a request has been read.
package keepalive
