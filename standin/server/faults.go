package server

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Cut is the point at which an answer is truncated.
type Cut string

// Points of truncation.
const (
	// CutNone sends complete answers.
	CutNone Cut = ""
	// CutLength closes the connection in the middle of a body with a Content-Length.
	CutLength Cut = "length"
	// CutChunked closes the connection in the middle of a chunked body.
	CutChunked Cut = "chunked"
	// CutCloseDelimited closes the connection in the middle of a body that has neither a Content-Length nor chunks.
	CutCloseDelimited Cut = "unmarked"
	// CutHeader closes the connection after the run, before the first byte of the answer.
	CutHeader Cut = "header"
)

// Faults are the injected faults; the zero value has none.
type Faults struct {
	// Slow multiplies service times; values up to 1 change nothing.
	Slow float64
	// FailFast answers 500 at once without running the request.
	FailFast bool
	// Shed refuses every request.
	Shed bool
	// CrashText crashes the stand-in when it runs a request whose body contains the text.
	CrashText string
	// Cut truncates answers.
	Cut Cut
	// Chunked sends complete answers in chunked encoding.
	Chunked bool
	// AnswerDelay delays the answer after the run, without holding a slot.
	AnswerDelay time.Duration
	// WrongID is echoed in place of the request's identifier if it is not empty.
	WrongID string
	// Pad is the number of bytes appended to the body of each answer.
	Pad int
	// LoadLag and HealthLag are the ages of the reported load and state.
	LoadLag, HealthLag time.Duration
	// LoadOverride replaces the reported load if it is not nil.
	LoadOverride *Load
	// HealthOverride replaces the reported state if it is not empty.
	HealthOverride State
}

type faultsWire struct {
	Slow        float64   `json:"slow"`
	FailFast    bool      `json:"fail-fast"`
	Shed        bool      `json:"shed"`
	CrashText   string    `json:"crash-text"`
	Cut         string    `json:"cut"`
	Chunked     bool      `json:"chunked"`
	LateMs      int64     `json:"late-ms"`
	WrongID     string    `json:"wrong-id"`
	Pad         int       `json:"pad"`
	LoadLagMs   int64     `json:"load-lag-ms"`
	HealthLagMs int64     `json:"health-lag-ms"`
	LoadLie     *loadWire `json:"load-lie"`
	HealthLie   string    `json:"health-lie"`
}

type loadWire struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

const (
	// maxPadBytes keeps a mistyped control request from exhausting memory.
	maxPadBytes = 64 << 20
	// maxMs bounds the durations of faults to one hour.
	maxMs = 3_600_000
)

// ParseFaults reads faults from JSON with kebab-case names; unknown names and values out of range are errors.
func ParseFaults(text []byte) (Faults, error) {
	var w faultsWire
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return Faults{}, errors.Wrap(err, "faults")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Faults{}, errors.New("faults: text after the JSON object")
	}
	switch Cut(w.Cut) {
	case CutNone, CutLength, CutChunked, CutCloseDelimited, CutHeader:
	default:
		return Faults{}, errors.Newf("faults: cut %q is not length, chunked, unmarked or header", w.Cut)
	}
	for _, ms := range []int64{w.LateMs, w.LoadLagMs, w.HealthLagMs} {
		if ms < 0 || ms > maxMs {
			return Faults{}, errors.Newf("faults: a time of %d ms is not within 0 and %d", ms, maxMs)
		}
	}
	if w.Slow < 0 || w.Pad < 0 || w.Pad > maxPadBytes {
		return Faults{}, errors.New("faults: slow or pad is out of range")
	}
	f := Faults{
		Slow: w.Slow, FailFast: w.FailFast, Shed: w.Shed, CrashText: w.CrashText, Cut: Cut(w.Cut), Chunked: w.Chunked,
		AnswerDelay: milliseconds(w.LateMs), WrongID: w.WrongID, Pad: w.Pad, LoadLag: milliseconds(w.LoadLagMs),
		HealthLag: milliseconds(w.HealthLagMs), HealthOverride: State(w.HealthLie),
	}
	f.LoadOverride = (*Load)(w.LoadLie)
	return f, nil
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
