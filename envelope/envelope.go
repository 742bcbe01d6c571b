package envelope

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// Key is the configuration's key in the store.
	Key = "configuration"
	// MaxText is the maximum size of the operators' text in bytes.
	MaxText = 8 << 20
	// MaxHistory is the maximum number of entries in a history.
	MaxHistory = 16
	// MaxSubmission is the maximum length of a submission identifier in bytes.
	MaxSubmission = 128
)

// Envelope is one accepted configuration with the submissions that led to it.
type Envelope struct {
	// Generation counts accepted submissions from 1.
	Generation uint64
	// Submission identifies the submission that was accepted.
	Submission string
	// History holds the last submissions, this one first, with consecutive descending generations.
	History []Entry
	// Text is the operators' file, byte for byte.
	Text []byte
}

// Entry is one accepted submission.
type Entry struct {
	Submission string
	Generation uint64
	// Digest is the xxhash of the submission's text.
	Digest uint64
}

// Digest returns the digest of a text as stored in an Entry.
func Digest(text []byte) uint64 {
	return xxhash.Sum64(text)
}

// Next returns the envelope that follows e with another text. The zero Envelope precedes generation 1.
func (e Envelope) Next(submission string, text []byte) Envelope {
	n := Envelope{Generation: e.Generation + 1, Submission: submission, Text: text}
	n.History = append(n.History, Entry{Submission: submission, Generation: n.Generation, Digest: Digest(text)})
	n.History = append(n.History, e.History[:min(len(e.History), MaxHistory-1)]...)
	return n
}

// Find returns the history's entry of a submission and reports whether it exists.
func (e Envelope) Find(submission string) (Entry, bool) {
	for _, h := range e.History {
		if h.Submission == submission {
			return h, true
		}
	}
	return Entry{}, false
}

// Covers reports whether the history holds the generation.
func (e Envelope) Covers(generation uint64) bool {
	n := uint64(len(e.History))
	return n > 0 && generation <= e.Generation && generation > e.Generation-n
}

// check returns an error if e violates an invariant documented on its type or the limits above.
func (e Envelope) check() error {
	switch {
	case e.Generation == 0:
		return errors.New("envelope: generation is 0")
	case len(e.Text) > MaxText:
		return errors.Newf("envelope: text of %d bytes exceeds %d", len(e.Text), MaxText)
	case len(e.History) == 0 || len(e.History) > MaxHistory || uint64(len(e.History)) > e.Generation:
		return errors.Newf("envelope: history of %d entries at generation %d", len(e.History), e.Generation)
	case e.History[0].Submission != e.Submission:
		return errors.New("envelope: the history's first entry is another submission")
	case e.History[0].Digest != Digest(e.Text):
		return errors.New("envelope: the text does not match its digest")
	}
	for i, h := range e.History {
		if h.Generation != e.Generation-uint64(i) {
			return errors.Newf("envelope: history entry %d has generation %d", i, h.Generation)
		}
		if h.Submission == "" || len(h.Submission) > MaxSubmission {
			return errors.Newf("envelope: history entry %d has a submission of %d bytes", i, len(h.Submission))
		}
	}
	return nil
}
