package strictjson

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrOversized is returned, wrapped, for input above the limit.
var ErrOversized = errors.New("strictjson: input exceeds its limit")

// Read decodes the single JSON value in r. Input of more than limit bytes is an error that wraps ErrOversized.
func Read[T any](r io.Reader, limit int) (T, error) {
	var zero T
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return zero, errors.Wrap(err, "strictjson: read")
	}
	if len(data) > limit {
		return zero, errors.Wrapf(ErrOversized, "more than %d bytes", limit)
	}
	return Decode[T](data)
}

// Decode decodes the single JSON value in data.
func Decode[T any](data []byte) (T, error) {
	var value, zero T
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&value); err != nil {
		return zero, errors.Wrap(err, "strictjson: decode")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return zero, errors.New("strictjson: data after the value")
	}
	return value, nil
}
