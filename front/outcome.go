package front

import (
	"net/http"
	"strconv"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// Values of the Fulmarhitch-Outcome header.
const (
	answered = "answered"
	notRun   = "not-run"
	unknown  = "unknown"
)

// writeOutcome writes the one response of a request. Its body has a Content-Length, so that a caller
// notices a response that was cut.
func writeOutcome(w http.ResponseWriter, id string, out outcome.Outcome) {
	h := w.Header()
	if id != "" && len(id) <= maxIDLength {
		h.Set(header.RequestID, id)
	}
	switch o := out.(type) {
	case outcome.Answered:
		for name, values := range o.Header {
			h[name] = values
		}
		h.Set(header.Outcome, answered)
		writeBody(w, o.Status, o.Body)
	case outcome.NotRun:
		h.Set(header.Outcome, notRun)
		h.Set(header.Reason, string(o.Reason))
		writeBody(w, notRunStatus(o.Reason), detailBody(string(o.Reason), o.Detail))
	case outcome.Unknown:
		h.Set(header.Outcome, unknown)
		h.Set(header.Reason, string(o.Reason))
		writeBody(w, http.StatusBadGateway, detailBody(string(o.Reason), o.Detail))
	default:
		panic("front: outcome of an unknown type")
	}
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write error means that the caller has gone; there is nobody to tell.
	_, _ = w.Write(body)
}

func detailBody(reason, detail string) []byte {
	if detail == "" {
		return []byte(reason + "\n")
	}
	return []byte(reason + ": " + detail + "\n")
}

// notRunStatus returns the HTTP status that fits the reason.
func notRunStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.BadRequest:
		return http.StatusBadRequest
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.KeyReused, outcome.TooDeep:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}
