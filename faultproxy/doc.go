// Package faultproxy is a TCP proxy on the loopback interface, for fault injection in tests. It delays bytes,
// holds them back in both directions or in one, or resets the connections.
package faultproxy
