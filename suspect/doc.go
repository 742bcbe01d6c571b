// Package suspect tracks requests that were in progress on upstreams that died and shares the deaths with peers.
package suspect
