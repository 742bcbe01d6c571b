// Package gateway is the process of an entry VM that serves plain HTTP callers by the rules in a store.
//
// Each VM chooses among the upstreams alone, by what they report just before the choice. Nothing is passed on to another
// VM, and nothing is kept beyond the life of the process except the VM's registration in the store.
//
// The settings are TOML of at most 1 MiB:
//
//	setting              range                        default
//	name                 text                         required
//	failure-domain       text                         required
//	address              IP address and port          required, for callers
//	ready-address        IP address and port          required, for readiness checks
//	directory-address    IP address and port          required, for callers that ask for addresses
//	store-address        IP address and port          required
//	peer-address         IP address and port          none, for other VMs
//	metrics-address      IP address and port          none
//	address-lifetime     100ms to 1m                  2s, how long callers may keep addresses
//	stop-timeout         1s to 10m                    6s, from the signal to the end of the process
//	retry-ratio          0 to 0.2                     0.2, second sends of a service to its requests
//	retry-burst          0 to 1000000                 0, second sends that the fleet may save up per service
//	questions-per-second 0 to 1000000                 10, questions to each upstream by the fleet
//	log-level            debug, info, warning, error  info
package gateway
