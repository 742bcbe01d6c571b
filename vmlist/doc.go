// Package vmlist is the client of the platform's VM list, which lags behind the real state.
package vmlist
