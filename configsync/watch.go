package configsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/store"
)

// storeState is the state of the store at the last contact.
type storeState struct {
	// valid is false before the first read and after a failure. A full read is then needed, because a store that was
	// rolled back may hold another value with the same version.
	valid   bool
	version uint64
	// generation is 0 if the key does not exist or its value cannot be decoded.
	generation uint64
	// unreadable marks a value that must not be overwritten: a later release may have written it.
	unreadable bool
}

// watch is the worker that reads the store once and then watches it while the VM is a watcher.
func (r *Syncer) watch(ctx context.Context) {
	pause := backoff.New(minPause, maxPause)
	var s storeState
	for ctx.Err() == nil {
		if !r.mustRead(s) {
			s.valid = false
			backoff.Sleep(ctx, roleCheckInterval)
			continue
		}
		if err := r.step(ctx, &s); err != nil {
			s.valid = false
			if ctx.Err() == nil {
				r.config.Log.WithError(err).Warn("reading the configuration from the store failed")
			}
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
	}
}

// mustRead reports whether the store has to be called: always on a watcher, otherwise until the first configuration or
// the first contact with the store.
func (r *Syncer) mustRead(s storeState) bool {
	return r.config.IsWatcher() || r.config.Holder.Current() == nil && r.LastContact().IsZero()
}

// step calls the store once, installs its value and repairs the store if it holds a lower generation.
func (r *Syncer) step(ctx context.Context, s *storeState) error {
	v, changed, err := r.read(ctx, *s)
	if err != nil {
		return err
	}
	now := time.Now()
	r.lastContact.Store(&now)
	if changed {
		*s = r.handle(v)
	}
	if c := r.newer(*s); c != nil {
		return r.repair(ctx, s, c)
	}
	return nil
}

func (r *Syncer) read(ctx context.Context, s storeState) (store.Value, bool, error) {
	if s.valid {
		return r.config.Store.Watch(ctx, envelope.Key, s.version, watchWait)
	}
	v, err := r.config.Store.Get(ctx, envelope.Key)
	return v, true, err
}

// handle installs a value and returns the store's state. A value that cannot be used is logged and not overwritten.
func (r *Syncer) handle(v store.Value) storeState {
	s := storeState{valid: true, version: v.Version}
	if v.Version == 0 {
		return s
	}
	log := r.config.Log.WithField("version", v.Version)
	e, err := envelope.Decode(v.Data)
	if err != nil {
		s.unreadable = true
		log.WithError(err).Error("decoding the configuration in the store failed")
		return s
	}
	s.generation = e.Generation
	switch installed, err := r.config.Holder.Install(e); {
	case installed:
		log.WithField("generation", e.Generation).Info("configuration installed from the store")
	case err != nil && !errors.Is(err, generation.ErrLower):
		log.WithError(err).Error("installing the configuration from the store failed")
	}
	return s
}

// newer returns the configuration in force if the store holds a lower generation, else nil.
func (r *Syncer) newer(s storeState) *generation.Current {
	c := r.config.Holder.Current()
	if c == nil || s.unreadable || s.generation >= c.Envelope.Generation {
		return nil
	}
	return c
}

// repair overwrites the older generation in the store with c. A conflict means that another VM wrote first.
func (r *Syncer) repair(ctx context.Context, s *storeState, c *generation.Current) error {
	data, err := c.Encoded()
	if err != nil {
		return err
	}
	log := r.config.Log.WithField("generation", c.Envelope.Generation).WithField("found", s.generation)
	switch res := r.config.Store.Put(ctx, envelope.Key, s.version, data).(type) {
	case store.Swapped:
		s.version, s.generation = res.Version, c.Envelope.Generation
		log.Warn("store held a lower generation; wrote back the configuration in force")
		return nil
	case store.Conflict:
		return errors.New("configsync: the store's version changed before the repair")
	case store.Uncertain:
		return errors.Wrap(res.Cause, "configsync: repair not confirmed")
	case store.Rejected:
		return errors.Wrap(res.Cause, "configsync: repair rejected")
	default:
		return errors.Newf("configsync: unexpected store result %T", res)
	}
}
