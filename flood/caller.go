package flood

import (
	"io"
	"net"
	"strings"
	"time"
)

// MaxSent is the number of bytes after which Call stops.
const MaxSent = 64 << 20

// RequestHeads returns the requests of HTTP/1.1 whose headers have no end, by name.
func RequestHeads() map[string]Stream {
	return map[string]Stream{
		"request line":    {"GET /", "x"},
		"no HTTP":         {"", "\x00\xff"},
		"header lines":    {"GET / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n"},
		"one header line": {"GET / HTTP/1.1\r\nHost: h\r\nA: ", "b"},
	}
}

// RequestBodies returns the requests of HTTP/1.1 with the request line and the headers whose bodies have no end, by name.
func RequestBodies(head string) map[string]Stream {
	bodies := Bodies(head)
	// A request without a length has no body.
	delete(bodies, "body without a length")
	return bodies
}

// Report says what a server made of a stream.
type Report struct {
	// Sent is the number of bytes that the server took.
	Sent int64
	// Took is the time until it closed the connection, or the limit.
	Took time.Duration
	// Answer is what it sent.
	Answer string
}

// Call sends the stream on the connection until the server closes it, the limit has passed or MaxSent bytes were sent. An
// interval above 0 makes it send the rest byte by byte.
func Call(c net.Conn, s Stream, interval, limit time.Duration) Report {
	start := time.Now()
	// An error means that the connection is closed, which the first write shows.
	_ = c.SetDeadline(start.Add(limit))
	answer := make(chan []byte, 1)
	go func() {
		// An error ends the answer as well.
		text, _ := io.ReadAll(c)
		answer <- text
	}()
	var r Report
	n, err := io.WriteString(c, s.Start)
	r.Sent = int64(n)
	rest := s.Rest
	if interval == 0 {
		rest = strings.Repeat(rest, 1+sendBuffer/len(rest))
	}
	for i := 0; err == nil && r.Sent < MaxSent; i = (i + 1) % len(rest) {
		part := rest
		if interval > 0 {
			time.Sleep(interval)
			part = rest[i : i+1]
		}
		n, err = io.WriteString(c, part)
		r.Sent += int64(n)
	}
	r.Took = time.Since(start)
	_ = c.Close()
	r.Answer = string(<-answer)
	return r
}
