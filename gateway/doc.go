// Package gateway implements the process of an entry VM that serves plain HTTP callers by the routing rules in a store.
//
// Each VM chooses among the upstreams on its own, based on the load that they report just before the choice. It passes a request on to
// another VM only while it reaches no upstream (package detour). It keeps no state beyond the end of the process except its
// registration in the store.
//
// If the rules have organisations, requests need a key of one of them (package identity). With the setting key-lifetime, a VM that
// can't show that its rules are younger than seven tenths of it refuses requests with keys.
//
// The settings are TOML of at most 1 MiB:
//
//	setting              range                        default
//	name                 text                         required
//	failure-domain       text                         required
//	address              IP address and port          required, for callers
//	ready-address        IP address and port          required, for readiness checks
//	directory-address    IP address and port          required, for callers that look up addresses
//	store-address        IP address and port          required
//	peer-address         IP address and port          none, for other VMs
//	seeds                IP addresses and ports       none, peer-addresses of VMs to ask while the store doesn't answer
//	link-rate            0 to 1000000                 none, rate of the VM's network link in Mbit/s
//	metrics-address      IP address and port          none
//	address-lifetime     100ms to 1m                  2s, how long callers may keep addresses
//	stop-timeout         1s to 10m                    6s, from the signal to the end of the process
//	retry-ratio          0 to 0.2                     0.2, retries and hedges per request to a service
//	retry-burst          0 to 1000000                 0, retries and hedges that the fleet may save up per service
//	questions-per-second 0 to 1000000                 10, polls of each upstream by the fleet
//	cold-overage         1 to 1000                    1.5, tolerated multiple of the warm-up rate of a cold upstream
//	cold-slack           0 to 1000000                 8, tolerated requests to it in any second beyond that
//	rules-delay          100ms to 1h                  2s, within which a change of the rules is in force
//	key-lifetime         100ms to 1h                  none, after which a key that was taken away must not be accepted anywhere
//	limit-window         1s to 1m                     5s, in which limits of organisations bound their requests
//	limit-overage        0 to 10                      0.1, tolerated excess as a part of these requests
//	limit-slack          0 to 1000000                 20, tolerated excess beyond that in requests
//	memory               32 to 1048576                256, memory of the process in MiB
//	body-memory          0 to 1048576                 a quarter of memory, for bodies of requests and answers, in MiB
//	head-memory          0 to 1048576                 an eighth of memory, for heads of requests, in MiB
//	connections          0 to 1048576                 16 for each MiB of memory, open connections from outside
//	log-level            debug, info, warning, error  info
package gateway
