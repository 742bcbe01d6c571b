package main

import (
	"bufio"
	_ "embed"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// requestHead is the head of a request of a client, with its places for the parts that differ.
//
//go:embed request.txt
var requestHead string

// clientTimeout is the time for which a client waits for an answer, beyond the deadline that it states.
const clientTimeout = 3 * time.Second

// answer is what a client has received; the status is 0 if the connection ended without an answer.
type answer struct {
	status int
	body   string
}

// send sends a request without a body, with the target as it stands, on a connection of its own from the IP address.
func send(from, front, method, target, id, language string) answer {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := dialer.Dial("tcp", front)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	head := strings.NewReplacer("METHOD", method, "TARGET", target, "ID", id, "LANGUAGE", language).Replace(requestHead)
	if _, err := io.WriteString(c, strings.ReplaceAll(head, "\n", "\r\n")); err != nil {
		return answer{body: err.Error()}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{resp.StatusCode, strings.TrimSpace(string(body))}
}
