package exchange

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

var (
	errUnmarked = errors.New("end of the answer can't be told from a broken connection")
	errTrailer  = errors.New("trailers of the answer are malformed")
)

// maxDirectBody is the largest announced length in bytes for which memory is taken at once.
const maxDirectBody = 32 << 10

// readAnswer reads the whole answer, checks that it belongs to the request and returns the result.
func (a *attempt) readAnswer(ctx context.Context, resp *http.Response) Result {
	defer resp.Body.Close()
	if !a.matchesRequest(resp) {
		a.conn.abort()
		return unknown(Mismatched, outcome.Mismatched, "answer doesn't name the request")
	}
	body, err := a.readBody(ctx, resp)
	if err != nil {
		// The rest of the answer must not be read as the beginning of the next one.
		a.conn.abort()
		if errors.IsAny(err, buffer.ErrTooLarge, buffer.ErrEvicted, errUnmarked) {
			return unknown(Truncated, outcome.Truncated, err.Error())
		}
		if errors.HasType(err, textproto.ProtocolError("")) {
			// The error quotes the trailers, and callers may get its text.
			err = errTrailer
		}
		res := a.resultAfterWrite(ctx, outcome.Truncated, Truncated, err)
		if res.Class == Cancelled && float64(a.conn.bodyBytes()) < minRate*time.Since(a.begun).Seconds() {
			return unknown(Truncated, outcome.Truncated, "caller left an answer that arrived too slowly")
		}
		return res
	}
	if a.kind == kindRequest && a.dialect.IsAltered(resp) {
		return unknown(Mismatched, outcome.Mismatched, "answer is not the upstream's own")
	}
	res := Result{Status: resp.StatusCode}
	a.dialect.Report(resp, &res)
	switch s := a.dialect.Statement(resp).(type) {
	case Refusal:
		res.Class, res.Outcome = Refused, s.Outcome
		return res
	case Doubt:
		if a.kind == kindRequest {
			res.Class, res.Outcome = Unconfirmed, s.Outcome
			return res
		}
	case Run:
	}
	res.Class = Answered
	res.Outcome = outcome.Answered{Status: resp.StatusCode, Header: a.dialect.EndToEnd(resp.Header), Body: body}
	return res
}

// matchesRequest reports whether the answer carries the request's identifier, which a late answer to an earlier request
// doesn't.
func (a *attempt) matchesRequest(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	ids := resp.Header[a.dialect.RequestID]
	if a.kind != kindRequest && len(ids) == 0 {
		return true
	}
	return len(ids) == 1 && ids[0] == a.request.ID
}

// namesOther reports whether the answer carries the identifier of another request, in which case the right answer may still
// follow.
func (a *attempt) namesOther(resp *http.Response) bool {
	ids := resp.Header[a.dialect.RequestID]
	return len(ids) == 1 && ids[0] != a.request.ID
}

// readBody returns the whole body, or an error if it is cut off, too large or without a marked end.
func (a *attempt) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	switch {
	case a.request.Method == http.MethodHead || length == 0:
		return nil, nil
	case length > int64(a.maxAnswer):
		return nil, errors.Wrapf(buffer.ErrTooLarge, "%d bytes announced", length)
	case length < 0 && len(resp.TransferEncoding) == 0 && !a.dialect.AllowCloseDelimited:
		return nil, errUnmarked
	}
	hold := a.bodies.Open(a.request.ID, a.conn.interrupt)
	defer hold.Close()
	if length < 0 || length > maxDirectBody {
		body, err := buffer.Read(ctx, resp.Body, int64(a.maxAnswer), hold)
		if err == nil && length < 0 && len(resp.TransferEncoding) == 0 {
			err = a.awaitReceipt(ctx)
		}
		return body, err
	}
	if err := hold.Grow(ctx, length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// readReport reads the load and the state of the upstream from the headers into the result.
func readReport(resp *http.Response, res *Result) {
	h := resp.Header
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

// statement returns a Refusal if the answer states according to the protocol that the upstream refused the request before
// running it. Other values of the header are not part of the protocol, and such an answer is passed on unchanged.
func statement(resp *http.Response) Statement {
	v := resp.Header[header.Refused]
	if resp.StatusCode != http.StatusServiceUnavailable || len(v) != 1 {
		return Run{}
	}
	switch v[0] {
	case "shed", "draining":
		return Refusal{outcome.NotRun{Reason: outcome.Refused}}
	case "deadline":
		return Refusal{outcome.NotRun{Reason: outcome.DeadlineUnreachable}}
	default:
		return Run{}
	}
}
