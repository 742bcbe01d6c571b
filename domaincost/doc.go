// Package domaincost estimates at what cost each failure domain serves requests of a service at present.
//
// A VM finds out the cost of another failure domain only by polls of upstreams there, each of which may need a connection. While
// all domains of a service are full or cold, polls of other domains are in vain, and the requests that they would move back and
// forth only add delay. The estimates come from the samples that the VM has made before; they expire, so that a domain is
// sampled again once its state may have changed.
package domaincost
