// Package front is the HTTP server that callers and operators talk to.
//
// It turns HTTP requests into request.Request values, hands them to a router and writes their outcomes. Every
// request gets exactly one outcome, named by the Fulmarhitch-Outcome header.
package front
