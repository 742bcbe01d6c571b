package flood

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// sendBuffer is the size in bytes of the buffer from which the system sends, so that the bytes sent show what was read.
	sendBuffer = 32 << 10
	// pollInterval is the time between two checks of the open connections.
	pollInterval = 5 * time.Millisecond
)

// Stream is a sequence of bytes that begins with Start and continues with Rest, again and again, until the connection closes.
type Stream struct {
	Start, Rest string
}

// Heads returns the answers of HTTP/1.1 whose headers have no end, by name.
func Heads() map[string]Stream {
	return map[string]Stream{
		"status line":           {"HTTP/1.1 200 ", "O"},
		"no HTTP":               {"", "\x00\xff"},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one header line":       {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"informational answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	}
}

// Bodies returns the answers of HTTP/1.1 with the status line and the headers whose bodies have no end, by name.
func Bodies(head string) map[string]Stream {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]Stream{
		"chunks":                   {head + chunked, "1000\r\n" + strings.Repeat(" ", 0x1000) + "\r\n"},
		"one chunk":                {head + chunked + "fffffffffff\r\n", " "},
		"chunk size":               {head + chunked, "0"},
		"chunk extension":          {head + chunked + "1;a=", "b"},
		"trailers":                 {head + chunked + "0\r\n", "A: b\r\n"},
		"body without a length":    {head + "\r\n", " "},
		"body with a large length": {head + "Content-Length: 1000000000000\r\n\r\n", " "},
	}
}

// Server serves connections on a loopback address, on each of which it reads one request and sends an answer. It is safe for
// concurrent use.
type Server struct {
	listener net.Listener
	answer   Stream
	interval time.Duration
	open     atomic.Int64
	sent     atomic.Int64
}

// NewServer starts a server. An interval above 0 makes it send the rest of its answers byte by byte.
func NewServer(a Stream, interval time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "flood: listen")
	}
	s := &Server{listener: l, answer: a, interval: interval}
	go s.accept()
	return s, nil
}

// Address returns the IP address and port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Sent returns the number of bytes that were sent on all connections.
func (s *Server) Sent() int64 {
	return s.sent.Load()
}

// IsIdle reports whether all connections have closed within the time.
func (s *Server) IsIdle(within time.Duration) bool {
	for end := time.Now().Add(within); s.open.Load() > 0; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Close closes the listener; connections end when their clients close them.
func (s *Server) Close() error {
	return s.listener.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.open.Add(1)
		go func() {
			defer s.open.Add(-1)
			defer c.Close()
			s.serve(c)
		}()
	}
}

func (s *Server) serve(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(sendBuffer)
	}
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.send(c, s.answer.Start)
	rest := s.answer.Rest
	if s.interval == 0 {
		rest = strings.Repeat(rest, 1+sendBuffer/len(rest))
	}
	for i := 0; ; i = (i + 1) % len(rest) {
		part := rest
		if s.interval > 0 {
			time.Sleep(s.interval)
			part = rest[i : i+1]
		}
		if !s.send(c, part) {
			return
		}
	}
}

// send sends the text and reports whether the connection is open.
func (s *Server) send(c net.Conn, text string) bool {
	n, err := io.WriteString(c, text)
	s.sent.Add(int64(n))
	return err == nil
}
