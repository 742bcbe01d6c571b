package entry

import (
	"context"
	"time"

	"github.com/fulmarhitch/fulmarhitch/metric"
	"github.com/fulmarhitch/fulmarhitch/store"
)

// countingStore counts the calls to the store in a metric, because the platform counts and limits them.
type countingStore struct {
	client  *store.Client
	metrics *metric.Metrics
}

// Get counts the call and returns the key's value.
func (s countingStore) Get(ctx context.Context, key string) (store.Value, error) {
	s.metrics.StoreCall("get")
	return s.client.Get(ctx, key)
}

// Put counts the call and replaces the key's value if its version is still the expected one.
func (s countingStore) Put(ctx context.Context, key string, expect uint64, data []byte) store.Result {
	s.metrics.StoreCall("put")
	return s.client.Put(ctx, key, expect, data)
}

// Watch counts the call and waits for another version of the key.
func (s countingStore) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (store.Value, bool, error) {
	s.metrics.StoreCall("watch")
	return s.client.Watch(ctx, key, version, wait)
}
