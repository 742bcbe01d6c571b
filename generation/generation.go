package generation

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/envelope"
)

var (
	// ErrLower marks a generation below the highest one seen.
	ErrLower = errors.New("generation: below the highest generation seen")
	// ErrDifferent marks an envelope whose generation is in force with different content.
	ErrDifferent = errors.New("generation: in force with different content")
)

// Parser parses the text of a configuration file.
type Parser func(name string, text []byte) (*declaration.Declaration, error)

// Current is the configuration in force. It is shared and must not be changed.
type Current struct {
	Envelope    envelope.Envelope
	Declaration *declaration.Declaration

	encodeOnce sync.Once
	encoded    []byte
	encodeErr  error
}

// Encoded returns the stored form of the envelope, encoded once and shared by all pulls of peers.
func (c *Current) Encoded() ([]byte, error) {
	c.encodeOnce.Do(func() { c.encoded, c.encodeErr = envelope.Encode(c.Envelope) })
	return c.encoded, c.encodeErr
}

// Holder holds the configuration in force. It is safe for concurrent use.
type Holder struct {
	parse   Parser
	current atomic.Pointer[Current]
	highest atomic.Uint64

	mu      sync.Mutex // guards Install and changed
	changed chan struct{}
}

// New returns a holder without a configuration.
func New(parse Parser) *Holder {
	return &Holder{parse: parse, changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil before the first one.
func (h *Holder) Current() *Current {
	return h.current.Load()
}

// Generation returns the generation in force, or 0 before the first one.
func (h *Holder) Generation() uint64 {
	if c := h.Current(); c != nil {
		return c.Envelope.Generation
	}
	return 0
}

// Highest returns the highest generation seen. It is above Generation if that envelope's text could not be parsed.
func (h *Holder) Highest() uint64 {
	return h.highest.Load()
}

// Changed returns a channel that is closed when the next configuration comes into force. Call it before Current so that
// no change in between is missed.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Install puts e in force and reports whether the configuration changed. It returns no error if e is already in force,
// ErrLower for a generation below the highest one seen, ErrDifferent for the generation in force with different
// content, and the parser's error for invalid text. The configuration in force is kept in all these cases.
func (h *Holder) Install(e envelope.Envelope) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Generation < h.Highest() {
		return false, errors.Wrapf(ErrLower, "generation %d, highest %d", e.Generation, h.Highest())
	}
	if e.Generation == h.Generation() {
		return false, h.checkSame(e)
	}
	h.highest.Store(e.Generation)
	d, err := h.parse("configuration", e.Text)
	if err != nil {
		return false, errors.Wrapf(err, "generation %d", e.Generation)
	}
	h.current.Store(&Current{Envelope: e, Declaration: d})
	close(h.changed)
	h.changed = make(chan struct{})
	return true, nil
}

// checkSame returns an error if e, which has the generation in force, differs from it in submission or text.
func (h *Holder) checkSame(e envelope.Envelope) error {
	c := h.Current()
	if c == nil {
		return errors.New("generation: envelope without a generation")
	}
	if c.Envelope.Submission != e.Submission || !bytes.Equal(c.Envelope.Text, e.Text) {
		return errors.Wrapf(ErrDifferent, "generation %d: submission %q in force, %q refused",
			e.Generation, c.Envelope.Submission, e.Submission)
	}
	return nil
}
