package frontend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/finding"
	"github.com/fulmarhitch/fulmarhitch/submission"
)

// confirmTimeout bounds the wait for the confirmations of an accepted configuration, which must be in force everywhere
// within this time.
const confirmTimeout = 5 * time.Second

type configurationWire struct {
	Generation uint64 `json:"generation"`
	Submission string `json:"submission"`
	Text       string `json:"text"`
}

type acceptedWire struct {
	Generation  uint64   `json:"generation"`
	Unconfirmed []string `json:"unconfirmed"`
}

type checkedWire struct {
	Services  int `json:"services"`
	Upstreams int `json:"upstreams"`
}

// configuration serves the configuration in force on GET and accepts a submission on POST.
func (s *Server) configuration(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		handle(w, req, http.MethodGet, s.showConfiguration)
		return
	}
	handle(w, req, http.MethodPost, func(req *http.Request) (acceptedWire, *apiError) {
		return s.submit(w, req)
	})
}

func (s *Server) showConfiguration(*http.Request) (configurationWire, *apiError) {
	current := s.config.Current()
	if current == nil {
		return configurationWire{}, &apiError{status: http.StatusServiceUnavailable, message: "no configuration is in force yet"}
	}
	return configurationWire{Generation: current.Envelope.Generation, Submission: current.Envelope.Submission,
		Text: string(current.Envelope.Text)}, nil
}

func (s *Server) submit(w http.ResponseWriter, req *http.Request) (acceptedWire, *apiError) {
	q := req.URL.Query()
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if err != nil {
		return acceptedWire{}, &apiError{status: http.StatusBadRequest,
			message: "base: want the generation that the file replaces, 0 for the first, got " + strconv.Quote(q.Get("base"))}
	}
	text, failure := readFile(w, req)
	if failure != nil {
		return acceptedWire{}, failure
	}
	switch result := s.config.Submit(req.Context(), text, base, q.Get("submission")).(type) {
	case submission.Accepted:
		ctx, cancel := context.WithTimeout(req.Context(), confirmTimeout)
		defer cancel()
		unconfirmed := append([]string{}, s.config.Unconfirmed(ctx, result.Generation)...)
		return acceptedWire{Generation: result.Generation, Unconfirmed: unconfirmed}, nil
	case submission.BaseMismatch:
		return acceptedWire{}, &apiError{status: http.StatusConflict, message: "refused: the file replaces generation " +
			strconv.FormatUint(result.Expected, 10) + ", but generation " + strconv.FormatUint(result.Found, 10) + " was accepted"}
	case submission.Invalid:
		return acceptedWire{}, invalidFile(result.Findings)
	case submission.Unavailable:
		return acceptedWire{}, &apiError{status: http.StatusServiceUnavailable, message: "not accepted: " + result.Cause.Error()}
	case submission.Undecided:
		return acceptedWire{}, &apiError{status: http.StatusBadGateway,
			message: "unknown, submit again with the same submission identifier: " + result.Cause.Error()}
	default:
		panic("frontend: unknown type of submission result")
	}
}

// check responds with the findings of a file, or its numbers of services and upstreams, without submitting it.
func (s *Server) check(w http.ResponseWriter, req *http.Request) {
	handle(w, req, http.MethodPost, func(req *http.Request) (checkedWire, *apiError) {
		text, failure := readFile(w, req)
		if failure != nil {
			return checkedWire{}, failure
		}
		d, err := declaration.Parse("configuration", text)
		if err != nil {
			return checkedWire{}, invalidFile(finding.Of(err))
		}
		wire := checkedWire{Services: len(d.Services)}
		for _, service := range d.Services {
			wire.Upstreams += len(service.Upstreams)
		}
		return wire, nil
	})
}

func invalidFile(findings []finding.Finding) *apiError {
	return &apiError{status: http.StatusUnprocessableEntity, message: "the file has findings", findings: findings}
}

func readFile(w http.ResponseWriter, req *http.Request) ([]byte, *apiError) {
	text, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxFileBytes))
	if err != nil {
		return nil, &apiError{status: http.StatusRequestEntityTooLarge, message: "body: " + err.Error()}
	}
	return text, nil
}
