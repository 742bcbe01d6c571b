package frontend

import (
	"net/http"
	"strconv"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// writeOutcome writes the response to a call. Its body has a Content-Length, so that a caller detects a truncated
// response.
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
		h.Set(header.Outcome, header.Answered)
		writeBody(w, o.Status, o.Body)
	case outcome.NotRun:
		h.Set(header.Outcome, header.NotRun)
		h.Set(header.Reason, string(o.Reason))
		writeBody(w, notRunStatus(o.Reason), detailBody(string(o.Reason), o.Detail))
	case outcome.Unknown:
		h.Set(header.Outcome, header.Unknown)
		h.Set(header.Reason, string(o.Reason))
		writeBody(w, http.StatusBadGateway, detailBody(string(o.Reason), o.Detail))
	default:
		panic("frontend: unknown type of outcome")
	}
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write error means that the caller disconnected, so there is no one to report it to.
	_, _ = w.Write(body)
}

func detailBody(reason, detail string) []byte {
	if detail == "" {
		return []byte(reason + "\n")
	}
	return []byte(reason + ": " + detail + "\n")
}

// notRunStatus returns the HTTP status for the reason.
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
