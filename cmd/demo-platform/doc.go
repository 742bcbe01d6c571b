// Command demo-platform runs gateways as separate processes against stand-ins for the users' platform. During the traffic
// it kills one gateway, drains an upstream, changes the configuration and shuts down another gateway gracefully.
//
// It prints one line of counts at the end and exits with status 0 only if no request of the service "write" ran more than
// once, no answer was mismatched and each kind of request was answered.
package main
