// Package rehearsal tests the promises about configuration, leaving upstreams, planned stops and the probe budget on
// fleets of whole entry VMs over real sockets. It holds no code of the product.
package rehearsal
