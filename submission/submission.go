package submission

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/finding"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/store"
)

const (
	// submitTimeout is the time limit of a submission.
	submitTimeout = 10 * time.Second
	// maxFailures is the maximum number of failed attempts of a submission that has sent no swap with an unknown result.
	maxFailures = 4
	// minPause and maxPause bound the pauses between attempts.
	minPause, maxPause = 50 * time.Millisecond, time.Second
)

// ErrBehind marks a store that holds a lower generation than the fleet.
var ErrBehind = errors.New("submission: the store is behind the fleet")

// Store is the part of the store's client that a submission needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Put(ctx context.Context, key string, expect uint64, data []byte) store.Result
}

// Acceptor accepts submissions. It is safe for concurrent use.
type Acceptor struct {
	store     Store
	holder    *generation.Holder
	parse     generation.Parser
	announced func() uint64
	log       logrus.FieldLogger
}

// New returns an acceptor. The function announced returns the highest generation that peers have announced to this VM,
// which may be above the holder's.
func New(s Store, h *generation.Holder, parse generation.Parser, announced func() uint64, log logrus.FieldLogger) *Acceptor {
	return &Acceptor{store: s, holder: h, parse: parse, announced: announced, log: log}
}

// Submit replaces generation base by the text; base 0 means that no configuration exists yet. A repeat with the same id
// and text gets the result of the first submission while the stored history holds it.
func (a *Acceptor) Submit(ctx context.Context, text []byte, base uint64, id string) Result {
	if all := a.check(text, id); len(all) > 0 {
		return Invalid{Findings: all}
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	t := &attempt{acceptor: a, text: text, digest: envelope.Digest(text), base: base, id: id}
	return t.run(ctx)
}

func (a *Acceptor) check(text []byte, id string) []finding.Finding {
	var all []finding.Finding
	if !isID(id) {
		all = append(all, finding.Finding{Place: "submission",
			Message: fmt.Sprintf("expected 1 to %d letters, digits, dots, dashes or underscores", envelope.MaxSubmission)})
	}
	if len(text) > envelope.MaxText {
		return append(all, tooLarge(len(text), envelope.MaxText))
	}
	if _, err := a.parse("configuration", text); err != nil {
		found := finding.Of(err)
		if found == nil {
			found = []finding.Finding{{Place: "configuration", Message: err.Error()}}
		}
		all = append(all, found...)
	}
	return all
}

// highest returns the highest generation that this VM has seen or that a peer has announced.
func (a *Acceptor) highest() uint64 {
	return max(a.holder.Highest(), a.announced())
}

// install puts e in force on this VM; other VMs learn of it from announcements.
func (a *Acceptor) install(e envelope.Envelope) {
	if _, err := a.holder.Install(e); err != nil && !errors.Is(err, generation.ErrLower) {
		a.log.WithError(err).WithField("generation", e.Generation).Error("installing the stored configuration failed")
	}
}

func tooLarge(size, limit int) finding.Finding {
	return finding.Finding{Place: "configuration", Message: fmt.Sprintf("%d bytes exceed the limit of %d", size, limit)}
}

func isID(id string) bool {
	for _, c := range id {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '-', c == '_':
		default:
			return false
		}
	}
	return id != "" && len(id) <= envelope.MaxSubmission
}
