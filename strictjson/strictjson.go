package strictjson

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrOversized marks input above its limit.
var ErrOversized = errors.New("strictjson: input exceeds its limit")

// Read returns the single JSON value of r, which holds at most limit bytes.
func Read[T any](r io.Reader, limit int) (T, error) {
	var none T
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return none, errors.Wrap(err, "strictjson: read")
	}
	if len(data) > limit {
		return none, errors.Wrapf(ErrOversized, "more than %d bytes", limit)
	}
	return Decode[T](data)
}

// Decode returns the single JSON value of data.
func Decode[T any](data []byte) (T, error) {
	var value, none T
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&value); err != nil {
		return none, errors.Wrap(err, "strictjson: decode")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return none, errors.New("strictjson: data after the value")
	}
	return value, nil
}
