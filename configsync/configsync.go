package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/store"
)

const (
	// watchWait is below the 4 s after which a VM without contact to the store counts as isolated, so that an idle
	// store answers in time.
	watchWait = 3 * time.Second
	// roleCheckInterval is how often a VM that is not a watcher checks whether it has become one. The check makes no call.
	roleCheckInterval = 250 * time.Millisecond
	// minPause and maxPause bound the pauses between failed calls to the store. With maxPause, the store is read again
	// within the 5 s that a change may take after the store has recovered.
	minPause, maxPause = 100 * time.Millisecond, 3 * time.Second
	// pullAttempts is the maximum number of pulls for one announcement; a later ping announces the generation again.
	pullAttempts = 8
	// minPullPause and maxPullPause bound the pauses between failed pulls.
	minPullPause, maxPullPause = 50 * time.Millisecond, time.Second
	// pullTimeout is the time limit of one pull.
	pullTimeout = time.Second
)

// Store is the part of the store's client that a Syncer needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (store.Value, bool, error)
	Put(ctx context.Context, key string, expect uint64, data []byte) store.Result
}

// Config holds the dependencies of a Syncer.
type Config struct {
	Store  Store
	Holder *generation.Holder
	// IsWatcher reports whether this VM currently has to watch the store.
	IsWatcher func() bool
	// Announced yields generations that peers have announced.
	Announced <-chan uint64
	// Pull returns an encoded envelope above the generation from a peer.
	Pull func(ctx context.Context, above uint64) ([]byte, error)
	Log  logrus.FieldLogger
}

// Syncer is a service with two workers: one watches the store, the other pulls from peers.
type Syncer struct {
	config      Config
	lastContact atomic.Pointer[time.Time]
	cancel      context.CancelFunc
	workers     sync.WaitGroup
}

// New returns a Syncer that is not started.
func New(c Config) *Syncer {
	return &Syncer{config: c}
}

// Start starts the workers and returns immediately, even while the store is down.
func (r *Syncer) Start(ctx context.Context) error {
	// The workers are not bound to the cancellation of ctx; Stop ends them.
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.workers.Go(func() { r.watch(ctx) })
	r.workers.Go(func() { r.pull(ctx) })
	return nil
}

// Stop cancels the workers and waits for them until ctx is done.
func (r *Syncer) Stop(ctx context.Context) error {
	if r.cancel == nil {
		return nil
	}
	r.cancel()
	done := make(chan struct{})
	go func() {
		r.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "configsync: stop")
	}
}

// LastContact returns the time of the last contact with the store, or the zero time before the first one.
func (r *Syncer) LastContact() time.Time {
	if at := r.lastContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
