package crash

import (
	"slices"

	"github.com/fulmarhitch/fulmarhitch/request"
)

// Evidence identifies a request.
type Evidence struct {
	// Fingerprints are those of the request from coarse to fine, and Features those of its headers, each with the work.
	Fingerprints, Features []uint64
}

// evidenceOf returns the evidence of the request.
func evidenceOf(r *request.Request) Evidence {
	fingerprints, features := r.Identify()
	return Evidence{Fingerprints: fingerprints, Features: features}
}

// all returns the fingerprints and the features.
func (e Evidence) all() []uint64 { return slices.Concat(e.Fingerprints, e.Features) }

// work returns the coarsest fingerprint.
func (e Evidence) work() uint64 { return e.Fingerprints[0] }

// finest returns the finest fingerprint.
func (e Evidence) finest() uint64 { return e.Fingerprints[len(e.Fingerprints)-1] }
