package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

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
func (Unreadable) isChange()   {}

// Source is where the entries come from.
type Source interface {
	// Snapshot returns all entries and the revision up to which they are complete.
	Snapshot(ctx context.Context) ([]Change, uint64, error)
	// Watch returns the changes after the revision and the revision to continue from. It returns without changes after
	// the wait, and with ErrForgotten if changes may be missing.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
}
