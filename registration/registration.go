package registration

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/kernel"
)

const (
	// LeaseTTL is the time after which the entry of a dead VM expires. Callers are sent to a dead VM until then.
	LeaseTTL = 4 * time.Second
	// renewInterval is the time between renewals. One that fails is repeated sooner, so that the lease survives a few
	// failures.
	renewInterval = LeaseTTL / 2
	// retryInterval is the time after which a failed renewal is repeated.
	retryInterval = 400 * time.Millisecond
	// readyCheckInterval is the time between two checks whether the VM should be registered.
	readyCheckInterval = 200 * time.Millisecond
	// listingDelay is the time after a registration in which this VM's view of the store catches up with it.
	listingDelay = 2500 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 700 * time.Millisecond
	// minPause and maxPause bound the backoff after a failed registration.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
)

// ErrEnded marks a lease that has ended.
var ErrEnded = errors.New("the lease has ended")

// Lease identifies a lease.
type Lease uint64

// Store holds registrations.
type Store interface {
	// Register writes the entry of the VM under a new lease.
	Register(ctx context.Context, vm fleet.VM, ttl time.Duration) (Lease, error)
	// Renew extends the lease, or returns ErrEnded.
	Renew(ctx context.Context, l Lease) error
	// Release ends the lease and with it the entry.
	Release(ctx context.Context, l Lease) error
}

// Registration is the kernel service that registers the VM.
type Registration struct {
	*kernel.Worker
	store Store
	vm    fleet.VM
	log   *logrus.Entry
	// ready reports whether the VM may be registered yet, and listed whether this VM's view of the store lists it.
	ready, listed func() bool
	// era returns the era of the store that this VM's view of it belongs to.
	era func() uint64

	stopOnce sync.Once
}

// New returns a registration of the VM that begins once ready returns true. The function listed reports whether this VM's
// view of the store lists it: an entry may be deleted although its lease is valid. The function era returns the era of that
// view.
func New(store Store, vm fleet.VM, ready, listed func() bool, era func() uint64, log *logrus.Entry) *Registration {
	r := &Registration{store: store, vm: vm, ready: ready, listed: listed, era: era, log: log}
	r.Worker = kernel.NewWorker(r.run)
	return r
}

// Stop ends the registration and waits until its entry is removed or the store does not answer. Further calls do nothing.
func (r *Registration) Stop(ctx context.Context) (err error) {
	r.stopOnce.Do(func() { err = r.Worker.Stop(ctx) })
	return err
}

// run keeps the VM registered until ctx is done.
func (r *Registration) run(ctx context.Context) {
	pause := backoff.New(minPause, maxPause)
	for ctx.Err() == nil {
		if !r.ready() {
			backoff.Sleep(ctx, readyCheckInterval)
			continue
		}
		era := r.era()
		lease, err := r.register(ctx)
		if err != nil {
			r.log.WithError(err).Debug("registration failed")
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
		r.log.WithField("lease", lease).Info("registered this VM in the store")
		r.keepAlive(ctx, lease, era)
	}
}

// keepAlive renews the lease, granted in the era or a later one, until it has ended, the VM is not listed or ctx is done. Once
// ctx is done it releases the lease.
func (r *Registration) keepAlive(ctx context.Context, lease Lease, era uint64) {
	began, pause := time.Now(), renewInterval
	for backoff.Sleep(ctx, pause) {
		if time.Since(began) > listingDelay && !r.listed() {
			r.log.WithField("lease", lease).Warn("store no longer lists this VM; registering again")
			return
		}
		err := r.renew(ctx, lease)
		if errors.Is(err, ErrEnded) {
			r.log.WithField("lease", lease).Warn("lease has ended; registering again")
			return
		}
		if pause = renewInterval; err != nil {
			pause = retryInterval
		}
	}
	if r.era() != era && !r.listed() {
		// The store was restored from a copy without this lease, and may have given its number to another process.
		r.log.WithField("lease", lease).Info("store has lost the lease; not releasing it")
		return
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := r.store.Release(callCtx, lease); err != nil {
		r.log.WithError(err).WithField("lease", lease).Warn("cannot release the lease; it will expire")
	}
}

func (r *Registration) renew(ctx context.Context, lease Lease) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.store.Renew(callCtx, lease)
}

func (r *Registration) register(ctx context.Context) (Lease, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.store.Register(callCtx, r.vm, LeaseTTL)
}
