package relay

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"

	"github.com/klauspost/compress/s2"

	"github.com/fulmarhitch/fulmarhitch/mirror"
)

// TestExpandingBlocks guards against a block of entries that takes far more memory than its size, or more than a VM has.
func TestExpandingBlocks(t *testing.T) {
	const maxMemory = 96 << 20
	zeros := make([]byte, maxBlock)
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(make([]wireEntry, maxBlock/2)); err != nil {
		t.Fatal(err)
	}
	entries := s2.Encode(nil, encoded.Bytes())
	short := make([]wireEntry, maxBlock/8)
	for i := range short {
		short[i].Key = "k"
	}
	encoded.Reset()
	if err := gob.NewEncoder(&encoded).Encode(short); err != nil {
		t.Fatal(err)
	}
	shortKeys := s2.Encode(nil, encoded.Bytes())
	var value bytes.Buffer
	if err := gob.NewEncoder(&value).Encode([]wireEntry{{Key: "k", Value: zeros}}); err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string][]byte{
		"length only":           binary.AppendUvarint(nil, maxBlock),
		"length above the type": binary.AppendUvarint(nil, 1<<40),
		"zeros":                 s2.Encode(nil, zeros),
		"more zeros":            s2.Encode(nil, append(zeros, zeros...)),
		"empty entries":         entries,
		"short keys":            shortKeys,
		"one large value":       s2.Encode(nil, value.Bytes()),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		got, err := unpack(block)
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("%s: %d entries were accepted", name, len(got))
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > maxMemory {
			t.Errorf("%s: a block of %d KiB took %d MiB", name, len(block)>>10, n>>20)
		}
	}
}

// TestLargeBlock guards against a fleet whose entries are not passed on because they are many.
func TestLargeBlock(t *testing.T) {
	b := mirror.Batch{Whole: true, Revision: 1}
	for i := range 20_000 {
		b.Entries = append(b.Entries, mirror.Entry{Key: fmt.Sprintf("upstreams/%d", i), Value: bytes.Repeat([]byte{byte(i)}, 400), Revision: uint64(i + 1)})
	}
	b.Entries = append(b.Entries, mirror.Entry{Key: "rules", Value: bytes.Repeat([]byte("r"), 1<<20), Revision: 7})
	block, err := (&packer{}).pack(0, b)
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpack(block)
	if err != nil || len(got) != len(b.Entries) {
		t.Errorf("%d entries, %v; want %d", len(got), err, len(b.Entries))
	}
}

// FuzzUnpack guards against blocks that end the process or take more memory than their bounds allow.
func FuzzUnpack(f *testing.F) {
	for _, entries := range [][]mirror.Entry{{{Key: "k", Value: []byte("v"), Revision: 1}}, make([]mirror.Entry, 300)} {
		block, err := (&packer{}).pack(0, mirror.Batch{Whole: true, Revision: 1, Entries: entries})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(block)
	}
	f.Fuzz(func(t *testing.T, block []byte) {
		if entries, err := unpack(block); err == nil && len(entries) > maxEntries {
			t.Errorf("%d entries were accepted", len(entries))
		}
	})
}
