package relay

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"

	"github.com/fulmarhitch/fulmarhitch/mirror"
)

const (
	// packThreshold is the size in bytes above which a value is sent compressed. Entries of upstreams and VMs are below 1 KB.
	packThreshold = 4 << 10
	// maxValue is the largest size of a value in bytes; the store's limit is 1 MB.
	maxValue = 4 << 20
)

// packer compresses each large value once, however many followers request it. It is safe for concurrent use.
type packer struct {
	mu sync.Mutex
	// latest holds the latest large value of each key, compressed.
	latest map[string]packedValue
}

type packedValue struct {
	revision uint64
	data     []byte
}

// pack returns the entry's value, compressed if it is large, and reports whether it is compressed.
func (p *packer) pack(e mirror.Entry) (data []byte, isPacked bool) {
	if len(e.Value) <= packThreshold {
		return e.Value, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.latest[e.Key]
	if v.revision != e.Revision {
		v = packedValue{revision: e.Revision, data: s2.EncodeBetter(nil, e.Value)}
		if p.latest == nil {
			p.latest = make(map[string]packedValue)
		}
		p.latest[e.Key] = v
	}
	return v.data, true
}

// unpack decompresses data.
func unpack(data []byte) ([]byte, error) {
	n, err := s2.DecodedLen(data)
	if err != nil {
		return nil, errors.Wrap(err, "relay: compressed value")
	}
	if n > maxValue {
		return nil, errors.Newf("relay: compressed value has %d bytes, more than %d", n, maxValue)
	}
	value, err := s2.Decode(nil, data)
	return value, errors.Wrap(err, "relay: compressed value")
}
