package envelope

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/fulmarhitch/fulmarhitch/strictjson"
)

type wireEnvelope struct {
	Generation uint64      `json:"generation"`
	Submission string      `json:"submission"`
	History    []wireEntry `json:"history"`
	Text       []byte      `json:"text-zstd"`
}

// wireEntry holds the digest in hex, because many JSON decoders lose precision of integers above 2^53.
type wireEntry struct {
	Submission string `json:"submission"`
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
}

// newEncoder returns an encoder for one call. Calls are rare, so no encoder is kept between them. A window of 1 MiB
// limits its memory to a few MiB.
func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20),
		zstd.WithLowerEncoderMem(true))
}

func newDecoder() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxText))
}

// Encode returns the stored form of e, or an error if e is invalid.
func Encode(e Envelope) ([]byte, error) {
	if err := e.check(); err != nil {
		return nil, err
	}
	z, err := newEncoder()
	if err != nil {
		return nil, errors.Wrap(err, "envelope")
	}
	defer func() { _ = z.Close() }()
	w := wireEnvelope{Generation: e.Generation, Submission: e.Submission, Text: z.EncodeAll(e.Text, nil)}
	for _, h := range e.History {
		w.History = append(w.History, wireEntry{h.Submission, h.Generation, strconv.FormatUint(h.Digest, 16)})
	}
	data, err := json.Marshal(w)
	return data, errors.Wrap(err, "envelope")
}

// Decode parses the stored form of an envelope. It rejects a text above MaxText before it allocates memory for it.
func Decode(data []byte) (Envelope, error) {
	w, err := strictjson.Decode[wireEnvelope](data)
	if err != nil {
		return Envelope{}, errors.Wrap(err, "envelope")
	}
	z, err := newDecoder()
	if err != nil {
		return Envelope{}, errors.Wrap(err, "envelope")
	}
	defer z.Close()
	text, err := z.DecodeAll(w.Text, nil)
	if err != nil {
		return Envelope{}, errors.Wrap(err, "envelope: text")
	}
	e := Envelope{Generation: w.Generation, Submission: w.Submission, Text: text}
	for i, h := range w.History {
		digest, err := strconv.ParseUint(h.Digest, 16, 64)
		if err != nil {
			return Envelope{}, errors.Wrapf(err, "envelope: digest of history entry %d", i)
		}
		e.History = append(e.History, Entry{Submission: h.Submission, Generation: h.Generation, Digest: digest})
	}
	if err := e.check(); err != nil {
		return Envelope{}, err
	}
	return e, nil
}
