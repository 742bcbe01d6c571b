package exchange

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Load is the load that an upstream reports: the numbers of running and waiting requests and of slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the present service time to the usual one, or 0 if it is not stated.
	Slowdown float64
}

// State is the state that an upstream reports.
type State string

// States of an upstream.
const (
	// Ready accepts requests.
	Ready State = "ready"
	// Cold accepts requests and is slower than usual.
	Cold State = "cold"
	// Draining accepts no new requests.
	Draining State = "draining"
	// Failing answers with errors.
	Failing State = "failing"
)

// ParseLoad parses the value of an Upstream-Load header such as "running=2 waiting=0 slots=3". Each of the three
// numbers must occur once, in any order, and none may be negative.
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

// ParseState parses a state and returns the empty state if the text is unknown.
func ParseState(text string) State {
	switch s := State(text); s {
	case Ready, Cold, Draining, Failing:
		return s
	default:
		return ""
	}
}

type healthAnswer struct {
	State string `json:"state"`
}

// ParseHealth parses the body of a health answer; an unknown state is an error.
func ParseHealth(text []byte) (State, error) {
	var answer healthAnswer
	if err := json.Unmarshal(text, &answer); err != nil {
		return "", errors.Wrap(err, "exchange: health")
	}
	s := ParseState(answer.State)
	if s == "" {
		return "", errors.Newf("exchange: health state %q is unknown", answer.State)
	}
	return s, nil
}
