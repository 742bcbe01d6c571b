package store

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/strictjson"
)

type wireValue struct {
	Value   *[]byte `json:"value"`
	Version uint64  `json:"version"`
}

type wireVersion struct {
	Version *uint64 `json:"version"`
}

func readValue(r io.Reader) (Value, error) {
	w, err := strictjson.Read[wireValue](r, maxResponseBytes)
	if err != nil {
		return Value{}, errors.Mark(err, ErrMalformed)
	}
	if w.Value == nil || w.Version == 0 {
		return Value{}, errors.Wrap(ErrMalformed, "no value or no version")
	}
	if len(*w.Value) > MaxValue {
		return Value{}, errors.Wrapf(ErrMalformed, "value of %d bytes", len(*w.Value))
	}
	return Value{Data: *w.Value, Version: w.Version}, nil
}

func readVersion(r io.Reader) (uint64, error) {
	w, err := strictjson.Read[wireVersion](r, 256)
	if err != nil {
		return 0, errors.Mark(err, ErrMalformed)
	}
	if w.Version == nil {
		return 0, errors.Wrap(ErrMalformed, "no version")
	}
	return *w.Version, nil
}
