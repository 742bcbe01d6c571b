// Package overlimit tests the process of a gateway with callers that send requests outside the limits or at their edge.
//
// The tests check only what doesn't depend on speed: the process lives, its memory and its open descriptors stay below a bound
// that follows from its settings, and an ordinary request is answered afterwards.
package overlimit
