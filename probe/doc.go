// Package probe asks idle, cold and ejected upstreams for their state within a budget that holds for the whole fleet.
//
// With a budget of P probes a second to each upstream and N entry VMs, the package guarantees for each upstream:
//
//   - At most P*W probes in every window of W >= N/P seconds, and at most N in a shorter one. This needs only that at
//     most N probers run at any time. It doesn't depend on clocks, membership, ranks, restarts or pauses.
//   - At most P*W probes in every window of W >= 3/P + 2e seconds as well, as long as N exceeds P, the ranks of the VMs
//     are distinct, their clocks are within e of each other and no VM pauses between the grant and the sending.
//
// A probe counts at the time at which its upstream receives it while the prober still waits for its answer. A change of P
// or N takes effect with an empty bucket at each VM that learns of it; until all have learned, the larger budget holds.
//
// No scheme without agreement holds a shorter window than N/P whatever the VMs believe: N probers that may each send one
// probe may all send it at once. The first guarantee is bought by a gap of 2*N/P seconds between the end of a probe and
// the next one of the same VM: with a gap of N/P, windows just above it would hold 2*N probes. The fleet as a whole
// therefore sends at most P/2 probes a second in the long run.
package probe
