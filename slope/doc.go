// Package slope contains benchmarks of how costs grow with the size of the configuration.
//
// They run at 30, 300 and 3,000 upstreams in 5, 45 and 450 services, 3 regions and 8 failure domains, with 16, 64 and
// 200 entry VMs. The results are in docs/slopes.md.
package slope
