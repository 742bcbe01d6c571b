// Package quarantine keeps the fingerprints of requests that were in progress when an upstream died.
package quarantine
