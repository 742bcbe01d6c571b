package exchange

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Load is the load that an upstream reports: requests that run and wait, and slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes at present as a multiple of the usual time, or 0 if it is not stated.
	Slowdown float64
}

// State is the state that an upstream reports.
type State string

// States of an upstream.
const (
	// Ready takes requests.
	Ready State = "ready"
	// Cold takes requests and is slower than usual.
	Cold State = "cold"
	// Draining takes no new requests.
	Draining State = "draining"
	// Failing answers with errors.
	Failing State = "failing"
)

// ParseLoad reads the value of an Upstream-Load header such as "running=2 waiting=0 slots=3". All three numbers have to
// be there once, in any order, and none may be negative.
func ParseLoad(text string) (Load, bool) {
	load := Load{Running: -1, Waiting: -1, Slots: -1}
	for part := range strings.SplitSeq(text, " ") {
		name, number, _ := strings.Cut(part, "=")
		n, err := strconv.ParseUint(number, 10, 31)
		if err != nil {
			return Load{}, false
		}
		var field *int
		switch name {
		case "running":
			field = &load.Running
		case "waiting":
			field = &load.Waiting
		case "slots":
			field = &load.Slots
		}
		if field == nil || *field >= 0 {
			return Load{}, false
		}
		*field = int(n)
	}
	if load.Running < 0 || load.Waiting < 0 || load.Slots < 0 {
		return Load{}, false
	}
	return load, true
}

// ParseState reads a state; unknown states yield the empty state, which says nothing.
func ParseState(text string) State {
	switch s := State(text); s {
	case Ready, Cold, Draining, Failing:
		return s
	default:
		return ""
	}
}

type healthWire struct {
	State string `json:"state"`
}

// ParseHealth reads the answer of a health endpoint; an unknown state is an error.
func ParseHealth(text []byte) (State, error) {
	var w healthWire
	if err := json.Unmarshal(text, &w); err != nil {
		return "", errors.Wrap(err, "exchange: health")
	}
	s := ParseState(w.State)
	if s == "" {
		return "", errors.Newf("exchange: health state %q is unknown", w.State)
	}
	return s, nil
}
