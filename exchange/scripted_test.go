package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// scripted is an upstream that writes raw bytes, for answers that a correct HTTP server never gives.
type scripted struct {
	net.Listener
	requests, connections atomic.Int64
}

// listen answers the n-th request (from 1) over all connections with the bytes of script; the connection closes after
// an empty answer or if hold is false.
func listen(t *testing.T, script func(n int64, r *http.Request) (answer string, hold bool)) *scripted {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{Listener: inner}
	t.Cleanup(func() { _ = inner.Close() })
	go func() {
		for {
			c, err := inner.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c, script)
		}
	}()
	return s
}

func (s *scripted) serve(c net.Conn, script func(int64, *http.Request) (string, bool)) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer, hold := script(s.requests.Add(1), r)
		_, _ = io.WriteString(c, answer)
		if !hold {
			return
		}
	}
}

// text returns a whole answer that names the request identifier.
func text(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nFulmarhitch-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}
