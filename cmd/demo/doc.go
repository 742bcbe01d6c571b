// Command demo runs the whole path as separate processes for about 20 s: the platform's stand-in, six entry VMs in
// three failure domains, three upstreams for each of eight services, and callers of two tenants. In the middle it
// kills an entry VM, drains an upstream and stops an entry VM as planned.
//
// It ends with one line of counts and exits with status 0 only if nothing ran twice, no answer was mismatched and
// at least one request of every kind was answered.
package main
