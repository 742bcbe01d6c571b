// Package crash keeps requests that crash the upstreams that run them from reaching further ones.
//
// A request whose upstream died while it ran is a suspect. Two upstreams lost to one request put it in quarantine at
// every VM; the store carries the deaths between the VMs. A request that an upstream answers is cleared.
package crash
