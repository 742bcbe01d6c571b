// Package probe sends background checks to idle, cold and ejected upstreams within a budget for the whole fleet.
//
// With a budget of P probes a second to each upstream and N entry VMs, the package guarantees for each upstream:
//
//   - At most P*W probes in every window of W >= N/P seconds, and at most N in a shorter one. The only condition is that
//     at most N probers run at any time; clocks, membership, ranks, restarts and pauses do not matter.
//   - At most P*W probes in every window of W >= 3/P + 2e seconds as well, as long as N exceeds P, the ranks of the VMs
//     are distinct, their clocks are within e of each other and no VM pauses between the grant and the sending of a probe.
//
// A probe counts at the time at which the upstream receives it while the prober still waits for the answer. When a VM
// learns of a change of P or N, it starts with an empty bucket; until all VMs have learned of it, the larger budget holds.
//
// Without agreement between the VMs, no scheme can guarantee the budget in windows shorter than N/P: N probers that may
// each send one probe may all send it at once. The first guarantee requires a gap of 2*N/P seconds between the end of a
// probe and the next one of the same VM, since with a gap of N/P, windows slightly longer than N/P could hold 2*N probes.
// The fleet as a whole therefore sends at most P/2 probes per second in the long run.
package probe
