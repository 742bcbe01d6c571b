package relay

import (
	"bytes"
	"encoding/gob"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"

	"github.com/fulmarhitch/fulmarhitch/mirror"
)

const (
	// maxBlock is the largest size of an uncompressed block of entries in bytes. Ten thousand entries take about 5 MB.
	maxBlock = 32 << 20
	// maxEntries is the largest number of entries in a block. Entries without content take a byte each in a block, but far
	// more in memory.
	maxEntries = 100_000
	// maxBlocks is the number of blocks that are kept for further followers.
	maxBlocks = 8
)

// wireEntry is an entry in a block.
type wireEntry struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// packer compresses the entries of a batch once, however many followers request it. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	blocks map[blockKey][]byte
}

// blockKey identifies the changes after a revision of an era.
type blockKey struct {
	era, after, revision uint64
}

// pack returns the batch's entries as a compressed block, or nil if there are none.
func (p *packer) pack(after uint64, b mirror.Batch) ([]byte, error) {
	if len(b.Entries) == 0 {
		return nil, nil
	}
	if b.Whole {
		after = 0
	}
	key := blockKey{b.Era, after, b.Revision}
	p.mu.Lock()
	defer p.mu.Unlock()
	if block, known := p.blocks[key]; known {
		return block, nil
	}
	entries := make([]wireEntry, 0, len(b.Entries))
	for _, e := range b.Entries {
		entries = append(entries, wireEntry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(entries); err != nil {
		return nil, errors.Wrap(err, "relay: encode entries")
	}
	block := s2.EncodeBetter(nil, encoded.Bytes())
	if len(p.blocks) >= maxBlocks || p.blocks == nil {
		p.blocks = make(map[blockKey][]byte)
	}
	p.blocks[key] = block
	return block, nil
}

// unpack returns the entries of a block.
func unpack(block []byte) ([]mirror.Entry, error) {
	if len(block) == 0 {
		return nil, nil
	}
	n, err := s2.DecodedLen(block)
	if err != nil {
		return nil, errors.Wrap(err, "relay: compressed entries")
	}
	if n > maxBlock {
		return nil, errors.Newf("relay: compressed entries have %d bytes, more than %d", n, maxBlock)
	}
	encoded, err := s2.Decode(nil, block)
	if err != nil {
		return nil, errors.Wrap(err, "relay: compressed entries")
	}
	count, err := countEntries(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "relay: count entries")
	}
	if count > maxEntries {
		return nil, errors.Newf("relay: block has %d entries, more than %d", count, maxEntries)
	}
	var entries []wireEntry
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&entries); err != nil {
		return nil, errors.Wrap(err, "relay: decode entries")
	}
	list := make([]mirror.Entry, 0, len(entries))
	for _, e := range entries {
		list = append(list, mirror.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return list, nil
}

var errGob = errors.New("no gob stream of a slice")

// countEntries returns the length of the slice in a gob stream, for which the decoder would take memory at once. The stream
// consists of messages with their lengths: those that define types have negative type identifiers; that of a slice has a zero
// byte and the number of elements after its type identifier.
func countEntries(stream []byte) (uint64, error) {
	for {
		length, rest, ok := gobUint(stream)
		if !ok || length > uint64(len(rest)) {
			return 0, errGob
		}
		message := rest[:length]
		stream = rest[length:]
		id, value, ok := gobUint(message)
		if !ok {
			return 0, errGob
		}
		// The lowest bit of a signed integer is its sign.
		if id&1 != 0 {
			continue
		}
		if len(value) == 0 || value[0] != 0 {
			return 0, errGob
		}
		count, _, ok := gobUint(value[1:])
		if !ok {
			return 0, errGob
		}
		return count, nil
	}
}

// gobUint decodes an unsigned integer of a gob stream: a byte below 128, or the negated number of bytes that follow.
func gobUint(data []byte) (n uint64, rest []byte, ok bool) {
	if len(data) == 0 {
		return 0, nil, false
	}
	if data[0] < 128 {
		return uint64(data[0]), data[1:], true
	}
	length := -int(int8(data[0]))
	if length > 8 || length >= len(data) {
		return 0, nil, false
	}
	for _, b := range data[1 : 1+length] {
		n = n<<8 | uint64(b)
	}
	return n, data[1+length:], true
}
