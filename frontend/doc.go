// Package frontend provides the HTTP server for callers and operators.
//
// It decodes calls into request.Request values, passes them to a router and writes their outcomes. Every call gets
// exactly one outcome, named by the Fulmarhitch-Outcome header.
package frontend
