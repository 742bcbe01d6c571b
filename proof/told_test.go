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

// told is what a caller was told about one request; a lost connection has the outcome "lost".
type told struct {
	outcome, reason, digest string
	status                  int
}

// keyOf returns a new key for the VM's present incarnation.
func keyOf(v *vm) string {
	incarnation, err := key.ParseIncarnation(v.incarnation)
	if err != nil {
		panic(err)
	}
	return key.New(incarnation, time.Now().Add(key.Lifetime)).String()
}

// send sends one request straight to the VM, without the retries of the callers' library.
func send(v *vm, kind, k, body string, timeout time.Duration) told {
	return sendPatiently(v, kind, k, body, timeout, timeout+time.Second)
}

// leave sends a request with a deadline of 10 s and closes its connection after the time.
func leave(v *vm, kind, k, body string, after time.Duration) {
	sendPatiently(v, kind, k, body, 10*time.Second, after)
}

// sendPatiently sends a request with the deadline and closes its connection after the patience.
func sendPatiently(v *vm, kind, k, body string, timeout, patience time.Duration) told {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
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
		return told{outcome: "lost"}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil || res.Header.Get("Fulmarhitch-Request-Id") != req.Header.Get("Fulmarhitch-Request-Id") {
		return told{outcome: "lost"}
	}
	t := told{outcome: res.Header.Get("Fulmarhitch-Outcome"), reason: res.Header.Get("Fulmarhitch-Reason"), status: res.StatusCode}
	if t.outcome == "answered" {
		t.digest = digestOf(text)
	}
	return t
}

// background sends a request in a goroutine and returns the channel of what was told.
func background(v *vm, kind, k, body string, timeout time.Duration) <-chan told {
	c := make(chan told, 1)
	go func() { c <- send(v, kind, k, body, timeout) }()
	return c
}

// wrongID is the identifier that a faulty stand-in names in place of the request's.
const wrongID = "another"

// digestOf returns the digest that a stand-in's answer carries, or what is wrong with the answer.
func digestOf(text []byte) string {
	var a struct {
		ID     string `json:"request-id"`
		Digest string `json:"body-digest"`
	}
	switch {
	case json.Unmarshal(text, &a) != nil:
		return "cut"
	case a.ID == wrongID:
		return "of request " + wrongID
	}
	return a.Digest
}

// broken describes how the outcomes told of one body break a promise, given the upstreams' record; "" if they don't.
func broken(kind, body string, runs int, all ...told) string {
	if most := map[string]int{act: 1, lookup: 2}[kind]; runs > most {
		return fmt.Sprintf("%s %q ran %d times", kind, body, runs)
	}
	for _, t := range all {
		switch {
		case t.outcome == "not-run" && runs > 0:
			return fmt.Sprintf("%s %q was told not run (%s) and ran", kind, body, t.reason)
		case t.outcome == "answered" && t.digest != server.Digest([]byte(body)):
			return fmt.Sprintf("%s %q got the answer of another: %s", kind, body, t.digest)
		case t.outcome == "answered" && t.status == http.StatusOK && runs == 0:
			return fmt.Sprintf("%s %q was answered and never ran", kind, body)
		case t.outcome != "answered" && t.outcome != "not-run" && t.outcome != "unknown" && t.outcome != "lost":
			return fmt.Sprintf("%s %q was told %q", kind, body, t.outcome)
		}
	}
	return ""
}

// digestOfBody returns the digest under which the upstreams record a body.
func digestOfBody(body string) string { return server.Digest([]byte(body)) }
