package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// ErrStale marks an answer of a peer whose last contact with the store is too long ago.
var ErrStale = errors.New("the peer has lost contact with the store")

// ErrCompacted marks a watch from a revision that the store's history no longer covers.
var ErrCompacted = errors.New("the store no longer holds the changes since the revision")

// ErrRestored marks an answer that belongs to another history of the store than the entries that it would extend.
var ErrRestored = errors.New("the store was restored from an older copy")

// Change is one change of the store's content.
type Change interface {
	isChange()
}

// RulesPut is the write of a version of the rules.
type RulesPut struct {
	Set *ruleset.Set
}

// UpstreamPut is the addition or change of an upstream.
type UpstreamPut struct {
	Upstream roster.Upstream
}

// UpstreamRemoved is the removal of an upstream, or the write of an entry of it that could not be decoded.
type UpstreamRemoved struct {
	ID string
}

// VMPut is the registration of a VM.
type VMPut struct {
	VM fleet.VM
}

// VMRemoved is the end of a VM's registration.
type VMRemoved struct {
	Name string
}

// SizePut is the write of the size of the fleet.
type SizePut struct {
	VMs int
}

// EvacuationPut asks that nothing more be sent to the upstreams of a failure domain.
type EvacuationPut struct {
	FailureDomain string
}

// EvacuationRemoved is the end of an evacuation.
type EvacuationRemoved struct {
	FailureDomain string
}

// DeathPut is the death of an upstream while it ran a request.
type DeathPut struct {
	// Fingerprints are those of the request, from coarse to fine. An earlier release states only the first.
	Fingerprints []uint64
	// Features are those of the request; an earlier release states none.
	Features []uint64
	Death    uint64
}

// AnswerPut is an answer to a request that was in progress on upstreams that died. Fingerprints and Features are as in DeathPut.
type AnswerPut struct {
	Fingerprints, Features []uint64
	// Answer identifies the answer.
	Answer uint64
}

// Unreadable is an entry that could not be decoded.
type Unreadable struct {
	Key string
	Err error
}

func (RulesPut) isChange()          {}
func (UpstreamPut) isChange()       {}
func (UpstreamRemoved) isChange()   {}
func (VMPut) isChange()             {}
func (VMRemoved) isChange()         {}
func (SizePut) isChange()           {}
func (EvacuationPut) isChange()     {}
func (EvacuationRemoved) isChange() {}
func (DeathPut) isChange()          {}
func (AnswerPut) isChange()         {}
func (Unreadable) isChange()        {}

// Entry is one entry of the store, or its removal.
type Entry struct {
	// Key and Value are as they are stored.
	Key   string
	Value []byte
	// Revision is the revision of its last change.
	Revision uint64
	// Deleted reports whether the entry was removed.
	Deleted bool
}

// Position is a point in a history of the store's changes.
type Position struct {
	// Era is the number of the history. It rises when the store is restored from an older copy, after which revisions are
	// given out again. It is 0 if the source states none.
	Era uint64
	// Revision is the revision of the last change in the history before the point.
	Revision uint64
}

// Batch is one answer of a source.
type Batch struct {
	// Entries are the changes in their order, or all entries if Whole is true.
	Entries []Entry
	Whole   bool
	// Era is the number of the history to which the revisions belong.
	Era uint64
	// Revision is the revision up to which Entries is complete.
	Revision uint64
	// Age is the time since the source's last contact with the store; it is 0 for the store itself.
	Age time.Duration
	// SentAge is the time from the sending of the call of the store that the entries come from to the sending of the call that this
	// batch answers; it is negative if the latter came first, and 0 for the store itself. A VM of an earlier release states none.
	SentAge    time.Duration
	HasSentAge bool
	// Confirmed is the time, on the clock of the mirror, at which that call of the store was sent at the latest. The mirror sets it,
	// and IsConfirmed if it is known.
	Confirmed   time.Duration
	IsConfirmed bool
	// Reader is the incarnation of the VM that called the store for the entries. A VM of an earlier release states none.
	Reader string
	// OutageEnd is the time at which the watcher of the store last regained contact with it, or zero. Entries that expired
	// in the outage may return within a grace period.
	OutageEnd time.Time
}

// Position returns the point in the store's history up to which the entries are complete.
func (b Batch) Position() Position {
	return Position{Era: b.Era, Revision: b.Revision}
}

// Source provides the entries: the store, or a VM that watches it.
type Source interface {
	// Snapshot returns all entries.
	Snapshot(ctx context.Context) (Batch, error)
	// Watch returns the changes after the position. It returns no changes if there are none within the wait, and
	// ErrCompacted if changes may be missing. If the position belongs to another history, it may return all entries, or
	// those after the same revision in its own history.
	Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error)
}
