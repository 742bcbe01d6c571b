// Command demo-platform runs gateways as separate processes against stand-ins of the users' platform. One gateway is
// killed, one is stopped as planned, an upstream drains and a configuration is changed meanwhile. It ends with a line of
// counts, and with status 0 only if nothing ran twice, no answer was mismatched and each kind of request was answered.
package main
