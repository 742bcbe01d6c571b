package keepalive_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/keepalive"
)

// connect returns a listener and both ends of a connection that it has accepted.
func connect() (l *keepalive.Listener, caller, server net.Conn, err error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	l = keepalive.New(inner)
	if caller, err = net.Dial("tcp", inner.Addr().String()); err != nil {
		return nil, nil, nil, err
	}
	server, err = l.Accept()
	return l, caller, server, err
}

// TestReadAfterExpiry guards against requests that have arrived at a connection when it is closed as idle, and get lost.
func TestReadAfterExpiry(t *testing.T) {
	Convey("Given a connection that expires", t, func() {
		l, caller, server, err := connect()
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		defer func() { _ = caller.Close() }()
		l.ConnState(server, http.StateIdle)
		b := make([]byte, 8)

		Convey("a request that has arrived is read, and the connection remains usable", func() {
			_, err := io.WriteString(caller, "one")
			So(err, ShouldBeNil)
			time.Sleep(10 * time.Millisecond)
			So(l.CloseIdle(time.Now()), ShouldEqual, 1)
			n, err := server.Read(b)
			So(err, ShouldBeNil)
			So(string(b[:n]), ShouldEqual, "one")
			So(l.CloseIdle(time.Now()), ShouldEqual, 0)
			_, err = io.WriteString(caller, "two")
			So(err, ShouldBeNil)
			n, err = server.Read(b)
			So(err, ShouldBeNil)
			So(string(b[:n]), ShouldEqual, "two")
		})

		Convey("a read without a request ends", func() {
			So(l.CloseIdle(time.Now()), ShouldEqual, 1)
			n, err := server.Read(b)
			So(n, ShouldEqual, 0)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(server.Close(), ShouldBeNil)
			So(l.Len(), ShouldEqual, 0)
		})

		Convey("a request that was read before is served", func() {
			So(l.CloseIdle(time.Now()), ShouldEqual, 1)
			l.ConnState(server, http.StateActive)
			So(l.CloseIdle(time.Now()), ShouldEqual, 0)
			_, err := io.WriteString(caller, "body")
			So(err, ShouldBeNil)
			n, err := server.Read(b)
			So(err, ShouldBeNil)
			So(string(b[:n]), ShouldEqual, "body")
		})
	})
}

// TestCloseIdleSparesNewConnections guards against a first request that is lost because it takes as long as the connection to
// arrive.
func TestCloseIdleSparesNewConnections(t *testing.T) {
	Convey("Given a new connection without a request", t, func() {
		l, caller, server, err := connect()
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		defer func() { _ = caller.Close() }()
		defer func() { _ = server.Close() }()
		So(l.CloseIdle(time.Now()), ShouldEqual, 0)
		So(l.CloseIdle(time.Now().Add(time.Second)), ShouldEqual, 1)
	})
}

// TestAnnounce guards against connections that are closed earlier than their callers were told.
func TestAnnounce(t *testing.T) {
	tests := map[string]struct {
		timeout time.Duration
		header  string
		// openFor is the time for which the connection is not closed, or 0 if it never is.
		openFor time.Duration
	}{
		"whole seconds":      {15 * time.Second, "timeout=15", 15 * time.Second},
		"less than a second": {200 * time.Millisecond, "timeout=1", time.Second},
		"part of a second":   {2500 * time.Millisecond, "timeout=3", 3 * time.Second},
		"no limit":           {0, "", 0},
		"no limit, negative": {-time.Second, "", 0},
	}
	for name, tt := range tests {
		Convey("Given "+name, t, func() {
			l, caller, server, err := connect()
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			defer func() { _ = caller.Close() }()
			defer func() { _ = server.Close() }()
			r, err := http.NewRequestWithContext(l.ConnContext(context.Background(), server), http.MethodGet, "http://h/", nil)
			So(err, ShouldBeNil)
			h := make(http.Header)
			keepalive.Announce(r, h, tt.timeout)
			So(h.Get("Keep-Alive"), ShouldEqual, tt.header)
			l.ConnState(server, http.StateIdle)
			now := time.Now()
			So(l.CloseExpired(now.Add(tt.openFor)), ShouldEqual, 0)
			So(l.CloseExpired(now.Add(time.Hour)) == 1, ShouldEqual, tt.openFor > 0)
		})
	}
}

// TestHasLeft guards against a caller that has closed its connection and isn't noticed until a pending read ends, and against
// one that is taken for gone because it is silent or has sent its next request.
func TestHasLeft(t *testing.T) {
	tests := map[string]struct {
		act  func(c *net.TCPConn) error
		want bool
	}{
		"open":               {func(*net.TCPConn) error { return nil }, false},
		"closed":             {func(c *net.TCPConn) error { return c.Close() }, true},
		"closed for sending": {func(c *net.TCPConn) error { return c.CloseWrite() }, true},
		"reset":              {func(c *net.TCPConn) error { return errors.CombineErrors(c.SetLinger(0), c.Close()) }, true},
		"next request":       {func(c *net.TCPConn) error { _, err := io.WriteString(c, "GET"); return err }, false},
	}
	for name, tt := range tests {
		Convey("Given a caller with its connection "+name, t, func() {
			l, caller, server, err := connect()
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			defer func() { _ = caller.Close() }()
			defer func() { _ = server.Close() }()
			ctx := l.ConnContext(context.Background(), server)
			So(keepalive.HasLeft(ctx), ShouldBeFalse)
			So(tt.act(caller.(*net.TCPConn)), ShouldBeNil)
			time.Sleep(10 * time.Millisecond)
			So(keepalive.HasLeft(ctx), ShouldEqual, tt.want)
			So(keepalive.HasLeft(ctx), ShouldEqual, tt.want)
		})
	}
	Convey("Given a read that is pending, a silent caller is not taken for gone, and the check doesn't wait", t, func() {
		l, caller, server, err := connect()
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		defer func() { _ = caller.Close() }()
		read := make(chan error, 1)
		go func() {
			_, err := server.Read(make([]byte, 1))
			read <- err
		}()
		time.Sleep(10 * time.Millisecond)
		So(keepalive.HasLeft(l.ConnContext(context.Background(), server)), ShouldBeFalse)
		So(server.Close(), ShouldBeNil)
		So(<-read, ShouldNotBeNil)
		So(keepalive.HasLeft(l.ConnContext(context.Background(), server)), ShouldBeTrue)
	})
	Convey("Given a request that is cancelled, its caller has left", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		So(keepalive.HasLeft(ctx), ShouldBeFalse)
		cancel()
		So(keepalive.HasLeft(ctx), ShouldBeTrue)
	})
}

// pipeListener accepts one end of a pipe, which has no buffer.
type pipeListener struct {
	net.Listener
	conn net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return l.conn, nil }

// TestUnreadAnswer guards against an answer that is held for ever because its caller doesn't read it, and against one that is cut off
// although its caller reads on.
func TestUnreadAnswer(t *testing.T) {
	const size = 200 << 10
	tests := map[string]struct {
		// pause is the time that the caller takes for each part of 64 KiB, of which it reads at most parts.
		pause time.Duration
		parts int
		want  error
		took  time.Duration
	}{
		"read at once":     {0, 10, nil, 0},
		"read slowly":      {9 * time.Second, 10, nil, 27 * time.Second},
		"read too slowly":  {11 * time.Second, 10, os.ErrDeadlineExceeded, 10 * time.Second},
		"not read":         {0, 0, os.ErrDeadlineExceeded, 10 * time.Second},
		"not read further": {time.Second, 2, os.ErrDeadlineExceeded, 11 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, caller := net.Pipe()
				c, err := keepalive.New(pipeListener{conn: server}).Accept()
				if err != nil {
					t.Fatal(err)
				}
				go func() {
					for range test.parts {
						if _, err := io.ReadFull(caller, make([]byte, 64<<10)); err != nil {
							return
						}
						time.Sleep(test.pause)
					}
				}()
				start := time.Now()
				n, err := c.Write(make([]byte, size))
				if !errors.Is(err, test.want) || err == nil && n != size {
					t.Errorf("%d bytes written, %v; want %v", n, err, test.want)
				}
				if took := time.Since(start); took < test.took || took > test.took+2*time.Second {
					t.Errorf("%s, want %s", took, test.took)
				}
				_, _ = c.Close(), caller.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}
