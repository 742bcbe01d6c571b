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

// scriptedServer is an upstream that writes raw bytes, for answers that a correct HTTP server never sends.
type scriptedServer struct {
	net.Listener
	requests, connections atomic.Int64
}

// startScripted starts a server that answers the n-th request over all connections, counted from 1, with the bytes that
// script returns. It closes the connection after the answer if keepOpen is false.
func startScripted(t *testing.T, script func(n int64, r *http.Request) (answer string, keepOpen bool)) *scriptedServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{Listener: inner}
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

func (s *scriptedServer) serve(c net.Conn, script func(int64, *http.Request) (string, bool)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer, keepOpen := script(s.requests.Add(1), r)
		_, _ = io.WriteString(c, answer)
		if !keepOpen {
			return
		}
	}
}

// response returns a whole answer with the request identifier.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nFulmarhitch-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}
