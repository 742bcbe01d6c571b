package exchange

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

var (
	errTooLarge = errors.New("answer is larger than the limit")
	errUnmarked = errors.New("end of the answer can't be told from a broken connection")
)

// answered reads the whole answer and checks that it is the request's own.
func (a *attempt) answered(ctx context.Context, resp *http.Response) Result {
	defer resp.Body.Close()
	if !a.isOwn(resp) {
		a.conn.seal()
		return unknown(Mismatched, outcome.Mismatched, "answer doesn't name the request")
	}
	content, err := a.read(resp)
	if err != nil {
		// The rest of the answer must not be read as the beginning of the next one.
		a.conn.seal()
		if errors.Is(err, errTooLarge) || errors.Is(err, errUnmarked) {
			return unknown(Truncated, outcome.Truncated, err.Error())
		}
		return a.lost(ctx, outcome.Truncated, Truncated, err)
	}
	if a.echo && a.dialect.Foreign(resp) {
		return unknown(Mismatched, outcome.Mismatched, "answer is not the upstream's own")
	}
	var res Result
	a.dialect.Report(resp.Header, &res)
	reason, refused := a.dialect.Refusal(resp)
	if refused {
		res.Class = Refused
		res.Outcome = outcome.NotRun{Reason: reason}
		return res
	}
	res.Class = Answered
	res.Outcome = outcome.Answered{Status: resp.StatusCode, Header: a.dialect.EndToEnd(resp.Header), Body: content}
	return res
}

// isOwn tells whether the answer names the request, which an answer that belongs to an earlier request doesn't.
func (a *attempt) isOwn(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	ids := resp.Header[a.dialect.RequestID]
	if !a.echo && len(ids) == 0 {
		return true
	}
	return len(ids) == 1 && ids[0] == a.request.ID
}

// isStray tells whether the answer names another request, so that the own one may follow.
func (a *attempt) isStray(resp *http.Response) bool {
	ids := resp.Header[a.dialect.RequestID]
	return len(ids) == 1 && ids[0] != a.request.ID
}

// read returns the whole body, or an error if it is cut, too large or without a marked end.
func (a *attempt) read(resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	switch {
	case a.request.Method == http.MethodHead || length == 0:
		return nil, nil
	case length > int64(a.limit):
		return nil, errTooLarge
	case length > 0:
		content := make([]byte, length)
		_, err := io.ReadFull(resp.Body, content)
		return content, err
	case len(resp.TransferEncoding) == 0 && !a.dialect.Unframed:
		return nil, errUnmarked
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, int64(a.limit)+1))
	if err == nil && len(content) > a.limit {
		return nil, errTooLarge
	}
	return content, err
}

// report reads the load and the state from the headers.
func report(h http.Header, res *Result) {
	if v := h[header.Load]; len(v) == 1 {
		res.Load, res.HasLoad = ParseLoad(v[0])
	}
	if v := h[header.State]; len(v) == 1 {
		res.State = ParseState(v[0])
	}
	if res.State == "" && h.Get(header.Refused) == string(Draining) {
		res.State = Draining
	}
}

// refusal tells whether the upstream says by its contract that it refused before running. Other values of the header are
// not part of the contract, and such an answer is passed on as it is.
func refusal(resp *http.Response) (outcome.Reason, bool) {
	v := resp.Header[header.Refused]
	if resp.StatusCode != http.StatusServiceUnavailable || len(v) != 1 {
		return "", false
	}
	switch v[0] {
	case "shed", "draining":
		return outcome.Refused, true
	case "deadline":
		return outcome.DeadlineUnreachable, true
	default:
		return "", false
	}
}
