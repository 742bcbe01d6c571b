package breakage

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Server answers each request with the same bytes.
type Server struct {
	net.Listener
	answer string
}

// Heads returns the status line and first header lines of broken responses, by name. They are sound in all else, and their end
// is missing.
func Heads() map[string]string {
	return map[string]string{
		"status 000":              "HTTP/1.1 000 OK\r\n",
		"status +20":              "HTTP/1.1 +20 OK\r\n",
		"control byte in reason":  "HTTP/1.1 200 \x01\r\n",
		"two blanks":              "HTTP/1.1  200 OK\r\n",
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Y: z\r\n",
		"blank before the colon":  "HTTP/1.1 200 OK\r\nX : y\r\n",
		"folded line":             "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n",
		"informational, with one": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n",
	}
}

// NewServer starts a server at an address of the loopback range. It reads each request, answers and keeps the connection.
func NewServer(answer string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{Listener: l, answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.Addr().String() }

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, s.answer); err != nil {
			return
		}
	}
}
