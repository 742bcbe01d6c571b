package registration_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/registration"
)

// store is a fake store for one registration.
type store struct {
	mu            sync.Mutex
	lease         registration.Lease
	registrations int
	renewals      int
	released      bool
	down          bool
	ended         bool
}

// state returns the number of registrations and whether the entry is gone.
func (s *store) state() (registrations int, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registrations, s.released || s.ended
}

var errDown = errors.New("the store is down")

func (s *store) Register(context.Context, fleet.VM, time.Duration) (registration.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errDown
	}
	s.lease++
	s.registrations++
	s.ended = false
	return s.lease, nil
}

func (s *store) Renew(context.Context, registration.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals++
	switch {
	case s.down:
		return errDown
	case s.ended:
		return registration.ErrEnded
	}
	return nil
}

func (s *store) Release(context.Context, registration.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
	return nil
}

// TestRegistration guards against a VM that stays unregistered, or that is registered before it is ready or after it has
// left.
func TestRegistration(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tests := map[string]struct {
		change        func(s *store, ready, listed *bool)
		registrations int
	}{
		"nothing fails":          {func(*store, *bool, *bool) {}, 1},
		"the lease has ended":    {func(s *store, _, _ *bool) { s.ended = true }, 2},
		"the store is down":      {func(s *store, _, _ *bool) { s.down = true }, 1},
		"the entry is deleted":   {func(_ *store, _, listed *bool) { *listed = false }, 2},
		"the VM becomes unready": {func(_ *store, ready, _ *bool) { *ready = false }, 1},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			ready, listed := false, true
			var mu sync.Mutex
			locked := func(b *bool) func() bool {
				return func() bool { mu.Lock(); defer mu.Unlock(); return *b }
			}
			era := func() uint64 { return 0 }
			r := registration.New(s, fleet.VM{Name: "a"}, locked(&ready), locked(&listed), era, logrus.NewEntry(log))
			_ = r.Start(t.Context())
			time.Sleep(2 * time.Second)
			if n, _ := s.state(); n != 0 {
				t.Errorf("%s: registered before it was ready", name)
			}
			mu.Lock()
			ready = true
			mu.Unlock()
			time.Sleep(5 * time.Second)
			mu.Lock()
			s.mu.Lock()
			test.change(s, &ready, &listed)
			s.mu.Unlock()
			mu.Unlock()
			time.Sleep(2200 * time.Millisecond)
			if n, _ := s.state(); n != test.registrations {
				t.Errorf("%s: registered %d times, want %d", name, n, test.registrations)
			}
			_ = r.Stop(t.Context())
			if _, gone := s.state(); !gone {
				t.Errorf("%s: the entry stays after the VM left", name)
			}
		})
	}
}

// TestLeaseLost guards against a VM that leaves and ends the lease of another process, which a store restored from an older
// copy has given the number of this VM's lost lease.
func TestLeaseLost(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for name, c := range map[string]struct {
		era      uint64
		listed   bool
		released bool
	}{
		"the copy lacks the registration": {2, false, false},
		"the copy has the registration":   {2, true, true},
		"the entry was deleted":           {1, false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			var era atomic.Uint64
			var listed atomic.Bool
			era.Store(1)
			listed.Store(true)
			r := registration.New(s, fleet.VM{Name: "a"}, func() bool { return true }, listed.Load, era.Load, logrus.NewEntry(log))
			_ = r.Start(t.Context())
			time.Sleep(5 * time.Second)
			era.Store(c.era)
			listed.Store(c.listed)
			_ = r.Stop(t.Context())
			if _, gone := s.state(); gone != c.released {
				t.Errorf("%s: lease released: %t", name, gone)
			}
		})
	}
}
