// Package lab has the stand-ins of the review cases from number 6 on: instances, consumers and the platform's store, and starts gateways
// as processes. The stand-ins speak what the users' pages say, on loopback addresses and the real clock.
package lab
