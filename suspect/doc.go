// Package suspect tracks requests that were in progress when upstreams died, together with the peers.
package suspect
