package ingress_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/ingress"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// sizedForwarder answers requests whose path is large with a large body, and others with a small one.
type sizedForwarder struct {
	large, small int
}

func (f sizedForwarder) Serve(_ context.Context, j forwarder.Job) forwarder.Result {
	size := f.small
	if strings.HasSuffix(j.Request.Path, "large") {
		size = f.large
	}
	return forwarder.Result{Outcome: outcome.Answered{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, size)}}
}

// ask sends a request on a new connection without reading its answer.
func ask(address, path string) (net.Conn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n", path)
	return c, err
}

// TestUnreadAnswers guards against callers that don't read their answers and so take all memory for bodies, so that other callers'
// bodies are cut off; and against memory that they hold for ever.
func TestUnreadAnswers(t *testing.T) {
	const (
		limit = 24 << 20
		// answerSize is more than the buffers of two sockets hold.
		answerSize = 16 << 20
	)
	Convey("Given callers that ask for large answers and don't read them", t, func() {
		l, set := listen(t), newRules(time.Second)
		c := newConfig(sizedForwarder{answerSize, 1000}, func() *ruleset.Set { return set })
		c.Bodies = buffer.New(limit, func(string, int64) {})
		s := ingress.New(l, c)
		So(s.Start(t.Context()), ShouldBeNil)
		defer func() { _ = s.Stop(context.Background()) }()
		for range 3 {
			conn, err := ask(l.Addr().String(), "large")
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
		}
		held := func(n int64) bool {
			deadline := time.Now().Add(5 * time.Second)
			for c.Bodies.Used() != n && time.Now().Before(deadline) {
				time.Sleep(5 * time.Millisecond)
			}
			return c.Bodies.Used() == n
		}
		So(held(3*answerSize), ShouldBeTrue)
		Convey("bodies of others get room", func() {
			hold := c.Bodies.Open("another", func() {})
			defer hold.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			time.Sleep(1500 * time.Millisecond)
			So(hold.Grow(ctx, limit/2), ShouldBeNil)
			resp, err := call(l.Addr().String())
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
		})
		Convey("a caller that reads slowly gets its answer while there is room", func() {
			conn, err := ask(l.Addr().String(), "small")
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			time.Sleep(1500 * time.Millisecond)
			So(conn.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			n, err := conn.Read(make([]byte, 4096))
			So(err, ShouldBeNil)
			So(n, ShouldBeGreaterThan, 1000)
		})
	})
}
