package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// ErrStale marks an answer of a peer that has not heard the store for too long.
var ErrStale = errors.New("the peer has not heard the store")

// ErrForgotten marks a watch from a revision that the store's history no longer covers.
var ErrForgotten = errors.New("the store no longer holds the changes since the revision")

// Change is one change of what the store holds.
type Change interface {
	isChange()
}

// RulesPut says that a version of the rules was written.
type RulesPut struct {
	Set *ruleset.Set
}

// UpstreamPut says that an upstream was added or changed.
type UpstreamPut struct {
	Upstream roster.Upstream
}

// UpstreamGone says that an upstream was removed, or that its entry names none.
type UpstreamGone struct {
	ID string
}

// VMPut says that a VM was registered.
type VMPut struct {
	VM fleet.VM
}

// VMGone says that a VM's registration has ended.
type VMGone struct {
	Name string
}

// DeathPut says that an upstream died while it ran a request.
type DeathPut struct {
	Fingerprint, Death uint64
}

// Unreadable says that an entry could not be decoded.
type Unreadable struct {
	Key string
	Err error
}

func (RulesPut) isChange()     {}
func (UpstreamPut) isChange()  {}
func (UpstreamGone) isChange() {}
func (VMPut) isChange()        {}
func (VMGone) isChange()       {}
func (DeathPut) isChange()     {}
func (Unreadable) isChange()   {}

// Entry is one entry of the store, or its removal.
type Entry struct {
	// Key and Value are as they are stored.
	Key   string
	Value []byte
	// Revision is that of its last change.
	Revision uint64
	// Deleted tells that the entry was removed.
	Deleted bool
}

// Batch is what a source tells of the store.
type Batch struct {
	// Entries are the changes in their order, or all entries if Whole is true.
	Entries []Entry
	Whole   bool
	// Revision is that up to which they are complete.
	Revision uint64
	// Age is the time since the source heard the store itself; it is 0 for the store.
	Age time.Duration
}

// Source is where the entries come from: the store, or a VM that watches it.
type Source interface {
	// Snapshot returns all entries.
	Snapshot(ctx context.Context) (Batch, error)
	// Watch returns the changes after the revision. It returns without changes after the wait, and with ErrForgotten if
	// changes may be missing.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}
