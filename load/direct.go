package load

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarhitch/fulmarhitch/caller"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// callDirect sends the call to the upstream as an entry VM would, without load balancing. Its outcome is meant for the
// measurement only: every transport failure is unknown, even if the request was not sent.
func (l *Load) callDirect(ctx context.Context, call caller.Call) outcome.Outcome {
	method := http.MethodPost
	if call.Idempotent {
		method = http.MethodGet
	}
	url := "http://" + l.config.Direct + "/" + call.Kind + "/" + call.Path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(call.Body))
	if err != nil {
		return outcome.NotRun{Reason: outcome.BadRequest, Detail: err.Error()}
	}
	id := rand.Text()
	deadline, _ := ctx.Deadline()
	req.Header.Set(header.RequestID, id)
	req.Header.Set(header.Deadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	req.Header.Set(header.Depth, "0")
	resp, err := l.direct.RoundTrip(req)
	if err != nil {
		return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return outcome.Unknown{Reason: outcome.Truncated, Detail: err.Error()}
	}
	if resp.Header.Get(header.RequestID) != id {
		return outcome.Unknown{Reason: outcome.Mismatched}
	}
	if resp.Header.Get(header.Refused) != "" {
		return outcome.NotRun{Reason: outcome.Refused}
	}
	return outcome.Answered{Status: resp.StatusCode, Header: resp.Header, Body: body}
}
