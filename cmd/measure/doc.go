// Command measure simulates traffic in virtual time to compare the decisions of the homes, the VMs that hold the
// queues of groups of upstreams, with those of a central queue with complete information and of simple policies.
package main
