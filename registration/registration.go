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
	// lifetime is the time after which the entry of a dead VM ends. Callers are sent to a dead VM for as long.
	lifetime = 4 * time.Second
	// renewal is the time between renewals; one that fails is repeated sooner, so that a few may fail.
	renewal = lifetime / 2
	// retry is the time after which a failed renewal is repeated.
	retry = 400 * time.Millisecond
	// listing is the time after a registration in which the own view of the store catches up with it.
	listing = 2500 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 700 * time.Millisecond
	// minPause and maxPause bound the pause after a failed registration.
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
	Register(ctx context.Context, vm fleet.VM, lifetime time.Duration) (Lease, error)
	// Renew extends the lease, or returns ErrEnded.
	Renew(ctx context.Context, l Lease) error
	// Release ends the lease and with it the entry.
	Release(ctx context.Context, l Lease) error
}

// Registration is the kernel service that registers the VM.
type Registration struct {
	*kernel.Duty
	store Store
	vm    fleet.VM
	log   *logrus.Entry
	// ready tells whether the VM may be registered yet, and listed whether the store is seen to list it.
	ready, listed func() bool

	leave sync.Once
}

// New returns a registration of the VM that begins once ready returns true. The function listed tells whether the VM is
// seen in the store: an entry may be taken away although its lease lives.
func New(store Store, vm fleet.VM, ready, listed func() bool, log *logrus.Entry) *Registration {
	r := &Registration{store: store, vm: vm, ready: ready, listed: listed, log: log}
	r.Duty = kernel.NewDuty(r.run)
	return r
}

// Stop ends the registration and waits until its entry is removed or the store doesn't answer. It may be called again.
func (r *Registration) Stop(ctx context.Context) (err error) {
	r.leave.Do(func() { err = r.Duty.Stop(ctx) })
	return err
}

// run holds a lease until ctx is done.
func (r *Registration) run(ctx context.Context) {
	pause := backoff.New(minPause, maxPause)
	for ctx.Err() == nil {
		if !r.ready() {
			backoff.Sleep(ctx, minPause)
			continue
		}
		lease, err := r.register(ctx)
		if err != nil {
			r.log.WithError(err).Debug("registration failed")
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
		r.log.WithField("lease", lease).Info("VM registered itself")
		r.hold(ctx, lease)
	}
}

// hold renews the lease until it has ended or ctx is done, and then releases it.
func (r *Registration) hold(ctx context.Context, lease Lease) {
	began, pause := time.Now(), renewal
	for backoff.Sleep(ctx, pause) {
		if time.Since(began) > listing && !r.listed() {
			r.log.WithField("lease", lease).Warn("entry is gone, registering again")
			return
		}
		err := r.renew(ctx, lease)
		if errors.Is(err, ErrEnded) {
			r.log.WithField("lease", lease).Warn("lease has ended, registering again")
			return
		}
		if pause = renewal; err != nil {
			pause = retry
		}
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := r.store.Release(call, lease); err != nil {
		r.log.WithError(err).WithField("lease", lease).Warn("lease not released, it ends by itself")
	}
}

func (r *Registration) renew(ctx context.Context, lease Lease) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.store.Renew(call, lease)
}

func (r *Registration) register(ctx context.Context) (Lease, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.store.Register(call, r.vm, lifetime)
}
