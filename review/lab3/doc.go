// Package lab3 starts gateways as processes beside stand-ins of the platform for the cases of the third review.
//
// Store, upstreams and callers run in the process of the case, on loopback addresses. Upstreams are small HTTP servers that follow the
// pages: they echo the request identifier, check the instance that is meant, report their load and can crash and come back.
package lab3
