package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fulmarhitch/fulmarhitch/finding"
)

// apiError is the error response to an operator or address request.
type apiError struct {
	status   int
	message  string
	findings []finding.Finding
}

type errorWire struct {
	Error    string        `json:"error"`
	Findings []findingWire `json:"findings,omitempty"`
}

type findingWire struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// handle checks the method, calls f and writes its result or error as JSON.
func handle[T any](w http.ResponseWriter, req *http.Request, method string, f func(*http.Request) (T, *apiError)) {
	if req.Method != method {
		w.Header().Set("Allow", method)
		writeJSON(w, http.StatusMethodNotAllowed, errorWire{Error: "want " + method})
		return
	}
	result, failure := f(req)
	if failure != nil {
		writeJSON(w, failure.status, encodeError(failure))
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func encodeError(f *apiError) errorWire {
	wire := errorWire{Error: f.message}
	for _, item := range f.findings {
		wire.Findings = append(wire.Findings, findingWire{Place: item.Place, Message: item.Message})
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
