package entry

import (
	"context"
	"time"

	"github.com/fulmarhitch/fulmarhitch/metric"
	"github.com/fulmarhitch/fulmarhitch/store"
)

// countedStore counts the calls of the store, which the platform counts too and limits.
type countedStore struct {
	client  *store.Client
	metrics *metric.Metrics
}

// Get returns the key's value.
func (s countedStore) Get(ctx context.Context, key string) (store.Value, error) {
	s.metrics.StoreCall("get")
	return s.client.Get(ctx, key)
}

// Put swaps the key's value.
func (s countedStore) Put(ctx context.Context, key string, expect uint64, data []byte) store.Result {
	s.metrics.StoreCall("put")
	return s.client.Put(ctx, key, expect, data)
}

// Watch waits for another version of the key.
func (s countedStore) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (store.Value, bool, error) {
	s.metrics.StoreCall("watch")
	return s.client.Watch(ctx, key, version, wait)
}
