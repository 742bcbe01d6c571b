// Package settings reads the settings of one entry VM's process.
//
// A file is TOML of at most 1 MiB.
//
//	setting          range                            default
//	name             kebab case, at most 63 bytes     required
//	failure-domain   kebab case, at most 63 bytes     required
//	address          IP address and port              required
//	peer-address     IP address and port              required
//	store-address    IP address and port              required
//	vm-list-address  IP address and port              required
//	peers            list of IP addresses and ports   empty
//	stop-timeout     1s to 10m                        90s
//	memory           32 to 1048576                    256, memory of the process in MiB
//	body-memory      0 to 1048576                     a quarter of memory, for bodies of requests and answers, in MiB
//	log-level        debug, info, warning, error      info
//
// The addresses for callers and for peers must differ. The default of stop-timeout exceeds the longest timeout of a
// kind (1m) and the address lifetime that a graceful shutdown waits for.
package settings
