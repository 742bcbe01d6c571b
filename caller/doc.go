// Package caller is the client library with which callers send requests to a service through the entry VMs.
//
// Each call has exactly one outcome: Answered, NotRun or Unknown. The library reports NotRun on its own only if no
// byte of the request was written to a connection.
package caller
