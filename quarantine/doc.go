// Package quarantine records the fingerprints of requests that were in progress on upstreams that died.
package quarantine
