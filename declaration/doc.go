// Package declaration parses the operators' file: the services, their upstreams and the limits on requests.
//
// Durations are time.Duration values; rates are per second; shares are fractions from 0 to 1.
//
// A file is TOML of at most 1 MiB. Names are in kebab case with at most 63 bytes. Names of failure domains, services
// and upstreams and addresses of upstreams are unique in the file; names of kinds are unique in their service.
//
//	setting              range                    default
//	max-entry-vms        1 to 1024                required
//	address-lifetime     1s to 1m                 5s
//	tenants              list of names            required
//
//	[[failure-domain]]   at least one
//	name                 name                     required
//	region               name                     required
//
//	[[service]]          at least one
//	name                 name                     required
//	tenant               one of tenants           required
//	connections          max-entry-vms to 100000  required
//	probes-per-second    0 to 1000                1
//	retry-ratio          0 to 0.2                 0.2
//	queue-length         1 to 100000              1024
//	long-share           0 to 1                   0.5
//	max-body             0 to 16 MiB, in bytes    1 MiB
//	max-answer           1 B to 64 MiB, in bytes  4 MiB
//
//	[[service.kind]]     at least one
//	name                 name                     required
//	idempotent           true or false            required
//	class                name                     the kind's name
//	long                 true or false            false
//	weight               1 to 1000                1
//	timeout              1ms to 1m                required
//
//	[[service.upstream]] at least one
//	name                 name                     required
//	address              IP address and port      required
//	failure-domain       one of failure-domain    required
//	slots                1 to 1000                required
//	leaving              true or false            false
package declaration
