// Package roster holds the upstreams of all services as the store lists them.
package roster
