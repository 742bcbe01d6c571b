package reader

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
	// watchWait is below the 4 s after which a VM without contact counts as isolated, so that an idle store confirms
	// contact in time.
	watchWait = 3 * time.Second
	// roleCheck is how often a VM that is no reader checks whether it has become one; that makes no call.
	roleCheck = 250 * time.Millisecond
	// leastPause and mostPause bound the pauses between failed calls of the store. With mostPause, a store that comes
	// back is read within the 5 s that a change may take.
	leastPause, mostPause = 100 * time.Millisecond, 3 * time.Second
	// pullAttempts bounds the pulls for one announcement; a later ping announces the generation again.
	pullAttempts = 8
	// leastPull and mostPull bound the pauses between failed pulls.
	leastPull, mostPull = 50 * time.Millisecond, time.Second
	// pullTimeout bounds one pull.
	pullTimeout = time.Second
)

// Store is the part of the store's client that a reader needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (store.Value, bool, error)
	Put(ctx context.Context, key string, expect uint64, data []byte) store.Result
}

// Config holds what a reader works with.
type Config struct {
	Store  Store
	Holder *generation.Holder
	// IsReader tells whether this VM holds a watch now.
	IsReader func() bool
	// Announced yields generations that peers have announced.
	Announced <-chan uint64
	// Pull returns an encoded envelope above the generation from a peer.
	Pull func(ctx context.Context, above uint64) ([]byte, error)
	Log  logrus.FieldLogger
}

// Reader is the service with the duties of watching the store and pulling from peers.
type Reader struct {
	config    Config
	confirmed atomic.Pointer[time.Time]
	cancel    context.CancelFunc
	duties    sync.WaitGroup
}

// New returns a reader that is not started.
func New(c Config) *Reader {
	return &Reader{config: c}
}

// Start begins the duties and returns at once, also while the store is down.
func (r *Reader) Start(ctx context.Context) error {
	// The duties outlive the start's context and end with Stop.
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.duties.Go(func() { r.watch(ctx) })
	r.duties.Go(func() { r.pull(ctx) })
	return nil
}

// Stop ends the duties and waits for them until ctx is done.
func (r *Reader) Stop(ctx context.Context) error {
	if r.cancel == nil {
		return nil
	}
	r.cancel()
	done := make(chan struct{})
	go func() {
		r.duties.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "reader: stop")
	}
}

// Confirmed returns the time of the last answer of the store, or the zero time before the first one.
func (r *Reader) Confirmed() time.Time {
	if at := r.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
