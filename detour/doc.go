// Package detour passes requests to other VMs while this one reaches no upstream.
//
// The other VM serves a passed request like one of a caller, with the limits, quotas and retries that hold there, and never passes
// it on again. It refuses the request if it reaches no upstream either, if its routing rules are older, or if it is about to end;
// the request then goes to another VM. Otherwise its answer is final: this VM doesn't send the request again, because it can't know
// whether it ran.
//
// A request of an organisation carries its name in place of the key. The other VM accepts the name only from the IP address of a VM
// that it lists.
package detour
