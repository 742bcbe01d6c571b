package front

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fulmarhitch/fulmarhitch/finding"
)

// fault is a failed operator or address request.
type fault struct {
	status   int
	message  string
	findings []finding.Finding
}

type faultWire struct {
	Error    string        `json:"error"`
	Findings []findingWire `json:"findings,omitempty"`
}

type findingWire struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// handle checks the method, runs f and writes its result or fault as JSON.
func handle[T any](w http.ResponseWriter, req *http.Request, method string, f func(*http.Request) (T, *fault)) {
	if req.Method != method {
		w.Header().Set("Allow", method)
		writeJSON(w, http.StatusMethodNotAllowed, faultWire{Error: "want " + method})
		return
	}
	result, fail := f(req)
	if fail != nil {
		writeJSON(w, fail.status, encodeFault(fail))
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func encodeFault(f *fault) faultWire {
	wire := faultWire{Error: f.message}
	for _, one := range f.findings {
		wire.Findings = append(wire.Findings, findingWire{Place: one.Place, Message: one.Message})
	}
	return wire
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
