package configsync

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/backoff"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/generation"
)

// pull is the worker that fetches announced generations from peers.
func (r *Syncer) pull(ctx context.Context) {
	for {
		select {
		case g := <-r.config.Announced:
			r.pullUntil(ctx, g)
		case <-ctx.Done():
			return
		}
	}
}

// pullUntil pulls until this VM has seen the announced generation or a later one, at most pullAttempts times.
func (r *Syncer) pullUntil(ctx context.Context, announced uint64) {
	pause := backoff.New(minPullPause, maxPullPause)
	for range pullAttempts {
		if r.config.Holder.Highest() >= announced || ctx.Err() != nil {
			return
		}
		err := r.pullOnce(ctx)
		if err == nil || errors.Is(err, generation.ErrLower) {
			continue
		}
		r.config.Log.WithError(err).WithField("generation", announced).Warn("pulling the configuration from a peer failed")
		pause.Wait(ctx)
	}
}

func (r *Syncer) pullOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	above := r.config.Holder.Generation()
	data, err := r.config.Pull(ctx, above)
	if err != nil {
		return err
	}
	e, err := envelope.Decode(data)
	if err != nil {
		return err
	}
	if e.Generation <= above {
		return errors.Newf("configsync: pulled generation %d, which is not above %d", e.Generation, above)
	}
	_, err = r.config.Holder.Install(e)
	return err
}
