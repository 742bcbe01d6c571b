package reader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/store"
)

// seen is what the store held at the last contact.
type seen struct {
	// fresh is false before the first read and after a failure. A full read is needed then, because a store that was
	// rolled back may hold another value under the same version.
	fresh   bool
	version uint64
	// generation is 0 if the key does not exist or its value can't be read.
	generation uint64
	// unreadable marks a value that must not be overwritten: a later release may have written it.
	unreadable bool
}

// watch is the duty that reads once, then watches while the VM is a reader.
func (r *Reader) watch(ctx context.Context) {
	pause := backoff.New(leastPause, mostPause)
	var s seen
	for ctx.Err() == nil {
		if !r.mustRead(s) {
			s.fresh = false
			backoff.Sleep(ctx, roleCheck)
			continue
		}
		if err := r.step(ctx, &s); err != nil {
			s.fresh = false
			if ctx.Err() == nil {
				r.config.Log.WithError(err).Warn("configuration not read from the store")
			}
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
	}
}

// mustRead tells whether the store has to be called: by a reader always, else until a first configuration or answer.
func (r *Reader) mustRead(s seen) bool {
	return r.config.IsReader() || r.config.Holder.Current() == nil && r.Confirmed().IsZero()
}

// step calls the store once and handles what it holds.
func (r *Reader) step(ctx context.Context, s *seen) error {
	v, changed, err := r.read(ctx, *s)
	if err != nil {
		return err
	}
	now := time.Now()
	r.confirmed.Store(&now)
	if changed {
		*s = r.handle(v)
	}
	if c := r.newer(*s); c != nil {
		return r.repair(ctx, s, c)
	}
	return nil
}

func (r *Reader) read(ctx context.Context, s seen) (store.Value, bool, error) {
	if s.fresh {
		return r.config.Store.Watch(ctx, envelope.Key, s.version, watchWait)
	}
	v, err := r.config.Store.Get(ctx, envelope.Key)
	return v, true, err
}

// handle installs a value and returns what was seen. A value that can't be used is logged and left alone.
func (r *Reader) handle(v store.Value) seen {
	s := seen{fresh: true, version: v.Version}
	if v.Version == 0 {
		return s
	}
	log := r.config.Log.WithField("version", v.Version)
	e, err := envelope.Decode(v.Data)
	if err != nil {
		s.unreadable = true
		log.WithError(err).Error("the store's configuration is not readable")
		return s
	}
	s.generation = e.Generation
	switch installed, err := r.config.Holder.Install(e); {
	case installed:
		log.WithField("generation", e.Generation).Info("configuration installed from the store")
	case err != nil && !errors.Is(err, generation.ErrLower):
		log.WithError(err).Error("the store's configuration not installed")
	}
	return s
}

// newer returns the configuration in force if the store holds a lower generation, else nil.
func (r *Reader) newer(s seen) *generation.Current {
	c := r.config.Holder.Current()
	if c == nil || s.unreadable || s.generation >= c.Envelope.Generation {
		return nil
	}
	return c
}

// repair writes c over the older generation that was seen. A conflict means that another VM was faster.
func (r *Reader) repair(ctx context.Context, s *seen, c *generation.Current) error {
	data, err := c.Encoded()
	if err != nil {
		return err
	}
	log := r.config.Log.WithField("generation", c.Envelope.Generation).WithField("found", s.generation)
	switch res := r.config.Store.Put(ctx, envelope.Key, s.version, data).(type) {
	case store.Swapped:
		s.version, s.generation = res.Version, c.Envelope.Generation
		log.Warn("the store was behind; configuration written back")
		return nil
	case store.Conflict:
		return errors.New("reader: the store's version changed before the repair")
	case store.Uncertain:
		return errors.Wrap(res.Cause, "reader: repair not confirmed")
	case store.Rejected:
		return errors.Wrap(res.Cause, "reader: repair rejected")
	default:
		return errors.Newf("reader: result %T of the store", res)
	}
}
