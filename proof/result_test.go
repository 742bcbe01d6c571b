package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/standin/server"
)

// result is the result of one request for its caller. The outcome is "lost" if the connection was lost or the answer
// belongs to another request.
type result struct {
	outcome, reason, digest string
	status                  int
}

// newKey returns a new key for the VM's current incarnation.
func newKey(v *vm) string {
	incarnation, err := key.ParseIncarnation(v.incarnation)
	if err != nil {
		panic(err)
	}
	return key.New(incarnation, time.Now().Add(key.Lifetime)).String()
}

// send sends one request to the VM without the retries of package caller.
func send(v *vm, kind, k, body string, timeout time.Duration) result {
	return sendWithClientTimeout(v, kind, k, body, timeout, timeout+time.Second)
}

// sendAndDisconnect sends a request with a deadline of 10 s and disconnects after the given time.
func sendAndDisconnect(v *vm, kind, k, body string, after time.Duration) {
	sendWithClientTimeout(v, kind, k, body, 10*time.Second, after)
}

// sendWithClientTimeout sends a request with the timeout as its deadline and disconnects after clientTimeout.
func sendWithClientTimeout(v *vm, kind, k, body string, timeout, clientTimeout time.Duration) result {
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+v.address+"/v1/call/records/"+kind+"/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Fulmarhitch-Request-Id", key.New(0, time.Now()).String())
	req.Header.Set("Fulmarhitch-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if k != "" {
		req.Header.Set("Fulmarhitch-Key", k)
	}
	res, err := client.Do(req)
	if err != nil {
		return result{outcome: "lost"}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil || res.Header.Get("Fulmarhitch-Request-Id") != req.Header.Get("Fulmarhitch-Request-Id") {
		return result{outcome: "lost"}
	}
	r := result{outcome: res.Header.Get("Fulmarhitch-Outcome"), reason: res.Header.Get("Fulmarhitch-Reason"), status: res.StatusCode}
	if r.outcome == "answered" {
		r.digest = answerDigest(text)
	}
	return r
}

// sendInBackground sends a request in a goroutine and returns a channel that receives the result.
func sendInBackground(v *vm, kind, k, body string, timeout time.Duration) <-chan result {
	c := make(chan result, 1)
	go func() { c <- send(v, kind, k, body, timeout) }()
	return c
}

// wrongID is the identifier that a faulty stand-in returns in place of the request's.
const wrongID = "another"

// answerDigest returns the digest in a stand-in's answer, or a description of the fault in the answer.
func answerDigest(text []byte) string {
	var a struct {
		ID     string `json:"request-id"`
		Digest string `json:"body-digest"`
	}
	switch {
	case json.Unmarshal(text, &a) != nil:
		return "truncated"
	case a.ID == wrongID:
		return "of request " + wrongID
	}
	return a.Digest
}

// violation describes how the results of one body contradict each other or the number of runs at the upstreams. It
// returns "" if they don't. A lookup may run twice and a registration once.
func violation(kind, body string, runs int, all ...result) string {
	if maxRuns := map[string]int{registration: 1, lookup: 2}[kind]; runs > maxRuns {
		return fmt.Sprintf("%s %q ran %d times", kind, body, runs)
	}
	for _, r := range all {
		switch {
		case r.outcome == "not-run" && runs > 0:
			return fmt.Sprintf("%s %q has the outcome not run (%s) but ran", kind, body, r.reason)
		case r.outcome == "answered" && r.digest != server.Digest([]byte(body)):
			return fmt.Sprintf("%s %q got a wrong answer, digest: %s", kind, body, r.digest)
		case r.outcome == "answered" && r.status == http.StatusOK && runs == 0:
			return fmt.Sprintf("%s %q was answered but never ran", kind, body)
		case r.outcome != "answered" && r.outcome != "not-run" && r.outcome != "unknown" && r.outcome != "lost":
			return fmt.Sprintf("%s %q has the invalid outcome %q", kind, body, r.outcome)
		}
	}
	return ""
}

// bodyDigest returns the digest under which the upstreams record a body.
func bodyDigest(body string) string { return server.Digest([]byte(body)) }
