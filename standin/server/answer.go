package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fulmarhitch/fulmarhitch/header"
)

// answer holds the values echoed in the answer to one request and the faults that apply to it.
type answer struct {
	id, digest string
	faults     Faults
}

type answerWire struct {
	RequestID  string `json:"request-id"`
	BodyDigest string `json:"body-digest"`
}

func (s *Server) refuse(w http.ResponseWriter, a answer, reason string) {
	w.Header().Set(header.Refused, reason)
	s.writeAnswer(w, a, http.StatusServiceUnavailable)
}

// writeAnswer writes the answer with the load, state and echo headers, truncated or chunked according to the faults.
func (s *Server) writeAnswer(w http.ResponseWriter, a answer, status int) {
	load, state := s.reported()
	id := a.id
	if a.faults.WrongID != "" {
		id = a.faults.WrongID
	}
	h := w.Header()
	h.Set(header.RequestID, id)
	h.Set(headerDigest, a.digest)
	h.Set(header.Load, load.String())
	h.Set(header.State, string(state))
	h.Set("Content-Type", "application/json")
	body, _ := json.Marshal(answerWire{RequestID: id, BodyDigest: a.digest})
	body = append(body, bytes.Repeat([]byte(" "), a.faults.Pad)...)
	rest, half := body, body[:len(body)/2]
	switch a.faults.Cut {
	case CutHeader:
		panic(http.ErrAbortHandler)
	case CutLength:
		h.Set("Content-Length", strconv.Itoa(len(body)))
		writeAndAbort(w, status, half)
	case CutChunked:
		writeAndAbort(w, status, half)
	case CutCloseDelimited:
		h.Set("Transfer-Encoding", "identity")
		writeAndAbort(w, status, half)
	case CutNone:
		if !a.faults.Chunked {
			h.Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(status)
		if a.faults.Chunked {
			_, _ = w.Write(half)
			_ = http.NewResponseController(w).Flush()
			rest = body[len(half):]
		}
		_, _ = w.Write(rest)
	}
}

// writeAndAbort sends the start of a body and closes the connection.
func writeAndAbort(w http.ResponseWriter, status int, partial []byte) {
	w.WriteHeader(status)
	_, _ = w.Write(partial)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
