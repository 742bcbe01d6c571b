package frontend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// TestUnreadAnswer guards against a connection and an answer that are held for ever because the caller doesn't read.
func TestUnreadAnswer(t *testing.T) {
	// answerSize is more than the buffers of two sockets hold.
	const answerSize = 16 << 20
	Convey("Given a caller that doesn't read its answer", t, func() {
		address, _ := serve(t, outcome.Answered{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, answerSize)})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "GET /v1/call/s/get/x HTTP/1.1\r\nHost: h\r\n%s: r1\r\n\r\n", header.RequestID)
		So(err, ShouldBeNil)
		head := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(c, head)
		So(err, ShouldBeNil)
		So(string(head), ShouldEqual, "HTTP/1.1 200")
		time.Sleep(13 * time.Second)
		So(c.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
		n, err := io.Copy(io.Discard, c)
		So(n, ShouldBeGreaterThan, 0)
		So(n, ShouldBeLessThan, answerSize)
		So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeFalse)
	})
}
