package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/document"
	"github.com/fulmarhitch/fulmarhitch/response"
)

// operatorTimeout bounds a request. It exceeds the 5 s for which a submission waits for confirmations.
const operatorTimeout = 30 * time.Second

// maxOutput is the maximum size of a printed answer in bytes.
const maxOutput = 16 << 20

// operator holds the flags of the commands that send a request to an entry VM.
type operator struct {
	Entry string `help:"Address of an entry VM." required:""`
	Token string `help:"Token of the operator." env:"FULMARHITCH_TOKEN"`
}

type submitCommand struct {
	operator
	File string `arg:"" help:"Operators' file."`
	Base uint64 `help:"Generation that the file replaces." required:""`
	ID   string `help:"Identifier of the submission; give the one printed to repeat a submission." name:"id"`
}

// Run submits the file and prints the answer of the entry VM.
func (c *submitCommand) Run(out output) error {
	text, err := readLimited(c.File)
	if err != nil {
		return withStatus(statusRefused, errors.Wrap(err, "submit"))
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	_, _ = fmt.Fprintf(out.stderr, "submission %s on base %d\n", c.ID, c.Base)
	query := url.Values{"base": {strconv.FormatUint(c.Base, 10)}, "submission": {c.ID}}
	return c.send(out, http.MethodPost, "/v1/configuration", query, text)
}

// readLimited reads a file and fails if it has more than document.MaxSize bytes.
func readLimited(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, document.MaxSize+1))
	if err == nil && len(text) > document.MaxSize {
		err = errors.Newf("%s has more than %d bytes", name, document.MaxSize)
	}
	return text, err
}

type showCommand struct{ operator }

// Run prints the configuration in force.
func (c *showCommand) Run(out output) error {
	return c.send(out, http.MethodGet, "/v1/configuration", nil, nil)
}

type statusCommand struct{ operator }

// Run prints the status of the entry VM.
func (c *statusCommand) Run(out output) error {
	return c.send(out, http.MethodGet, "/v1/status", nil, nil)
}

// send sends one request to the entry VM and writes the answer to stdout.
func (o *operator) send(out output, method, path string, query url.Values, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: o.Entry, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return withStatus(statusRefused, err)
	}
	if o.Token != "" {
		req.Header.Set("Authorization", "Bearer "+o.Token)
	}
	transport := response.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true})
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return withStatus(statusUnavailable, errors.Wrapf(err, "entry VM %s", o.Entry))
	}
	defer resp.Body.Close()
	if _, err := io.Copy(out.stdout, io.LimitReader(resp.Body, maxOutput)); err != nil {
		return withStatus(statusUnavailable, errors.Wrapf(err, "entry VM %s: incomplete answer with status %d", o.Entry, resp.StatusCode))
	}
	return statusError(resp.StatusCode)
}

// statusError returns the error for the HTTP status of an answer to an operator, or nil for status 200.
func statusError(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return withStatus(statusRefused, errors.New("refused: another file was accepted on this base"))
	case status == http.StatusUnprocessableEntity:
		return withStatus(statusRefused, errors.New("refused: the file has findings"))
	case status == http.StatusBadGateway:
		return withStatus(statusUnavailable, errors.New("unknown: the file may come into force; submit it again with the same --id"))
	case status == http.StatusServiceUnavailable:
		return withStatus(statusUnavailable, errors.New("unavailable: not accepted"))
	case status >= 400 && status < 500:
		return withStatus(statusRefused, errors.Newf("refused with status %d", status))
	default:
		return withStatus(statusUnavailable, errors.Newf("unexpected status %d", status))
	}
}
