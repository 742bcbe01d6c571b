package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// send sends the call to the address. It returns delivered = false if no byte of the call was written.
func (c *Caller) send(ctx context.Context, to Address, call Call) (out outcome.Outcome, delivered bool) {
	out, delivered, stale := c.exchange(ctx, to, call)
	// An idle connection that the server closed does not mean that the address is unreachable, so send tries it once more.
	if stale {
		out, delivered, _ = c.exchange(ctx, to, call)
	}
	return out, delivered
}

// exchange sends the call once. It returns stale = true if a connection was open but failed before any byte was written.
func (c *Caller) exchange(ctx context.Context, to Address, call Call) (out outcome.Outcome, delivered, stale bool) {
	id := rand.Text()
	req, err := c.request(ctx, to, call, id)
	if err != nil {
		return outcome.NotRun{Reason: outcome.BadRequest, Detail: err.Error()}, true, false
	}
	var tracker connTracker
	resp, err := c.transport.RoundTrip(req.WithContext(tracker.trace(ctx)))
	if err != nil {
		if tracker.wrote() {
			return unknownOutcome(ctx, err), true, false
		}
		stale = tracker.gotConn() && ctx.Err() == nil
		if !stale && ctx.Err() == nil {
			c.avoid(to.Address)
		}
		return outcome.NotRun{Reason: outcome.Unreachable, Detail: err.Error()}, false, stale
	}
	defer resp.Body.Close()
	return c.read(ctx, resp, id), true, false
}

func unknownOutcome(ctx context.Context, err error) outcome.Outcome {
	if ctx.Err() != nil {
		return outcome.Unknown{Reason: outcome.Timeout, Detail: err.Error()}
	}
	return outcome.Unknown{Reason: outcome.ConnectionLost, Detail: err.Error()}
}

func (c *Caller) request(ctx context.Context, to Address, call Call, id string) (*http.Request, error) {
	target := "http://" + to.Address + "/v1/call/" + call.Service + "/" + call.Kind + "/" + call.Path
	// The type of the body hides that it can be rewound, so that the transport never sends it twice.
	var body io.Reader
	if len(call.Body) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(call.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	// The transport sends requests with one of these headers again after some connection errors.
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	c.authorize(req)
	deadline, _ := ctx.Deadline()
	left := max(1, time.Until(deadline).Milliseconds())
	req.Header.Set(header.Deadline, strconv.FormatInt(left, 10))
	req.Header.Set(header.Depth, strconv.Itoa(call.Depth))
	req.Header.Set(header.RequestID, id)
	req.Header.Del(header.Key)
	if call.Key != "" {
		req.Header.Set(header.Key, call.Key)
	}
	return req, nil
}

// read reads the response and returns the outcome in it.
func (c *Caller) read(ctx context.Context, resp *http.Response, id string) outcome.Outcome {
	if echo := resp.Header.Get(header.RequestID); echo != id {
		return outcome.Unknown{Reason: outcome.Mismatched, Detail: "the answer names request " + strconv.Quote(echo)}
	}
	// Without a length, a truncated answer can't be told from a whole one.
	if resp.ContentLength < 0 {
		return outcome.Unknown{Reason: outcome.Truncated, Detail: "the answer has no Content-Length"}
	}
	if resp.ContentLength > int64(c.config.MaxAnswer) {
		return outcome.Unknown{Reason: outcome.Truncated, Detail: "the answer is longer than the limit"}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		if ctx.Err() != nil {
			return outcome.Unknown{Reason: outcome.Timeout, Detail: err.Error()}
		}
		return outcome.Unknown{Reason: outcome.Truncated, Detail: err.Error()}
	}
	reason := outcome.Reason(resp.Header.Get(header.Reason))
	switch kind := resp.Header.Get(header.Outcome); kind {
	case header.Answered:
		return outcome.Answered{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}
	case header.NotRun:
		return outcome.NotRun{Reason: reason, Detail: detail(body)}
	case header.Unknown:
		return outcome.Unknown{Reason: reason, Detail: detail(body)}
	default:
		return outcome.Unknown{Reason: outcome.Mismatched, Detail: "the answer has the outcome " + strconv.Quote(kind)}
	}
}

// detail returns the start of a body as text.
func detail(body []byte) string {
	const maxDetail = 1 << 10
	return strings.TrimSpace(string(body[:min(len(body), maxDetail)]))
}

// endToEnd returns the headers without those of the protocol and the hop-by-hop ones.
func endToEnd(h http.Header) http.Header {
	h = h.Clone()
	for _, name := range []string{header.RequestID, header.Outcome, header.Reason, "Connection", "Keep-Alive", "Transfer-Encoding"} {
		h.Del(name)
	}
	return h
}
