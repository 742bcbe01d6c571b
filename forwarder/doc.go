// Package forwarder takes one request to an upstream and decides what its caller is told.
//
// A non-idempotent request is sent a second time only if the first upstream has stated that it did not run, or if no
// byte of it was sent. An idempotent request may also be sent again after a failure, and while a slow first upstream
// still works on it. Second sends of all kinds are paid from a budget that the VMs share by fixed parts.
package forwarder
