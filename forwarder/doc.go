// Package forwarder sends one request to an upstream, with retries and hedges, and determines its outcome.
//
// A non-idempotent request is sent again only if the first upstream has stated that it did not run, or if no byte of it
// was sent. An idempotent request may also be sent again after a failure (retry), and while a slow first upstream still
// works on it (hedge). Retries and hedges of a service draw on one retry budget, of which each VM holds a share.
package forwarder
