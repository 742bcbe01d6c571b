package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/ingress"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

const requestHead = "GET /x HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// dial returns the caller's side of a new connection.
func (l *pipeListener) dial() net.Conn {
	caller, server := net.Pipe()
	l.conns <- server
	return caller
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// readAnswer reads an answer and its body.
func readAnswer(c net.Conn) (*http.Response, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// exchange sends a request and reads its answer.
func exchange(c net.Conn) (*http.Response, error) {
	if _, err := io.WriteString(c, requestHead); err != nil {
		return nil, err
	}
	return readAnswer(c)
}

// TestIdleConnections guards against requests whose connection is closed as idle: callers that reuse one were not told the
// limit, a shorter limit in newer rules counted at once, and a connection was idle until the whole head had been read.
func TestIdleConnections(t *testing.T) {
	const limit, shorter = 15 * time.Second, 5 * time.Second
	tests := map[string]struct {
		// newLimit is the limit of the rules that come into force after the first answer.
		newLimit time.Duration
		// idle is the time between the first answer and the next request, whose head takes headTime.
		idle, headTime time.Duration
		wantOpen       bool
	}{
		"used within the limit":                       {limit, limit - time.Second, 0, true},
		"used at the end of the limit":                {limit, limit + time.Second, 0, true},
		"used long after the limit":                   {limit, limit + 4*time.Second, 0, false},
		"head read while the limit passes":            {limit, limit + time.Second, 3 * time.Second, true},
		"limit lowered, used within the earlier one":  {shorter, limit - time.Second, 0, true},
		"limit lowered, used long after the earlier":  {shorter, limit + 4*time.Second, 0, false},
		"limit raised, used within the earlier limit": {2 * limit, limit - time.Second, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("Given a connection that was "+name, t, func() {
					var rules atomic.Pointer[ruleset.Set]
					rules.Store(newRules(limit))
					l := newPipeListener()
					s := ingress.New(l, newConfig(fixedForwarder{outcome.Answered{Status: http.StatusOK}}, rules.Load))
					_ = s.Start(t.Context())
					defer func() { _ = s.Stop(context.Background()) }()
					c := l.dial()
					defer func() { _ = c.Close() }()
					first, err := exchange(c)
					So(err, ShouldBeNil)
					rules.Store(newRules(tt.newLimit))
					time.Sleep(tt.idle)
					head := strings.SplitAfterN(requestHead, "\r\n", 2)
					_, err = io.WriteString(c, head[0])
					if err == nil {
						time.Sleep(tt.headTime)
						_, err = io.WriteString(c, head[1])
					}
					if err == nil {
						_, err = readAnswer(c)
					}
					So(err == nil, ShouldEqual, tt.wantOpen)
					So(first.Header.Get("Keep-Alive"), ShouldEqual, "timeout=15")
				})
			})
		})
	}
}

// TestStopAnswersRequestBeingRead guards against requests that are lost because a graceful shutdown takes a connection for
// idle while the head of a request is being read.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a server that stops while a head is being read", t, func() {
			set := newRules(0)
			l := newPipeListener()
			s := ingress.New(l, newConfig(fixedForwarder{outcome.Answered{Status: http.StatusOK}}, func() *ruleset.Set { return set }))
			_ = s.Start(t.Context())
			busy, idle := l.dial(), l.dial()
			for _, c := range []net.Conn{busy, idle} {
				_, err := exchange(c)
				So(err, ShouldBeNil)
			}
			head := strings.SplitAfterN(requestHead, "\r\n", 2)
			_, err := io.WriteString(busy, head[0])
			So(err, ShouldBeNil)
			defer func() { _ = busy.Close() }()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(context.Background()) }()
			_, err = idle.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			time.Sleep(time.Second)
			_, err = io.WriteString(busy, head[1])
			So(err, ShouldBeNil)
			resp, err := readAnswer(busy)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			So(resp.Close, ShouldBeTrue)
			So(<-stopped, ShouldBeNil)
		})
	})
}

// countingForwarder counts the requests that are forwarded.
type countingForwarder struct{ forwarded *atomic.Int64 }

func (f countingForwarder) Serve(context.Context, forwarder.Job) forwarder.Result {
	f.forwarded.Add(1)
	return forwarder.Result{Outcome: outcome.Answered{Status: http.StatusOK}}
}

// slowCloseListener accepts connections whose Close first calls a function.
type slowCloseListener struct {
	net.Listener
	onClose func()
}

func (l slowCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowCloseConn{c, l.onClose}, err
}

type slowCloseConn struct {
	net.Conn
	onClose func()
}

func (c *slowCloseConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// TestSweepAnswersForwardedRequests guards against requests that are forwarded and never answered, because their connection is
// closed as idle after they have been read.
func TestSweepAnswersForwardedRequests(t *testing.T) {
	Convey("Given idle connections, and requests that arrive while the first one is closed", t, func() {
		const callers = 8
		var forwarded atomic.Int64
		conns := make([]net.Conn, callers)
		var once sync.Once
		onClose := func() {
			once.Do(func() {
				for _, c := range conns {
					_, _ = io.WriteString(c, requestHead)
				}
				// The server reads the requests meanwhile.
				time.Sleep(100 * time.Millisecond)
			})
		}
		set := newRules(time.Millisecond)
		l := listen(t)
		s := ingress.New(slowCloseListener{l, onClose}, newConfig(countingForwarder{&forwarded}, func() *ruleset.Set { return set }))
		_ = s.Start(context.Background())
		defer func() { _ = s.Stop(context.Background()) }()
		for i := range conns {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = c.Close() }()
			_, err = exchange(c)
			So(err, ShouldBeNil)
			conns[i] = c
		}
		answered := int64(callers)
		for _, c := range conns {
			if _, err := readAnswer(c); err == nil {
				answered++
			}
		}
		So(answered, ShouldEqual, forwarded.Load())
	})
}

// TestDrainRefusesWhatItCannotAnswer guards against requests that a graceful shutdown accepts and then interrupts, because they
// may take longer than the process lives.
func TestDrainRefusesWhatItCannotAnswer(t *testing.T) {
	tests := map[string]struct {
		// left is the time until the process ends, and timeout the request's deadline.
		left, timeout time.Duration
		status        int
	}{
		"ends before the process": {3 * time.Second, 2 * time.Second, http.StatusOK},
		"ends with the process":   {2 * time.Second, 2 * time.Second, http.StatusOK},
		"may end after it":        {time.Second, 2 * time.Second, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("Given a request that "+name, t, func() {
					set := newRules(0)
					l := newPipeListener()
					s := ingress.New(l, newConfig(fixedForwarder{outcome.Answered{Status: http.StatusOK}}, func() *ruleset.Set { return set }))
					_ = s.Start(t.Context())
					defer func() { _ = s.Stop(context.Background()) }()
					s.Drain(time.Now().Add(tt.left))
					c := l.dial()
					defer func() { _ = c.Close() }()
					_, err := fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nDeadline: %d\r\n\r\n", tt.timeout.Milliseconds())
					So(err, ShouldBeNil)
					resp, err := readAnswer(c)
					So(err, ShouldBeNil)
					So(resp.StatusCode, ShouldEqual, tt.status)
					So(resp.Close, ShouldBeTrue)
					if tt.status == http.StatusServiceUnavailable {
						after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
						So(err, ShouldBeNil)
						So(after, ShouldBeLessThan, 0.05)
					}
				})
			})
		})
	}
}

// TestStrayBytes guards against connections that stay open for good, because their caller sent a few bytes after a request and
// no further request.
func TestStrayBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a connection with stray bytes after a request", t, func() {
			set := newRules(15 * time.Second)
			l := newPipeListener()
			s := ingress.New(l, newConfig(fixedForwarder{outcome.Answered{Status: http.StatusOK}}, func() *ruleset.Set { return set }))
			_ = s.Start(t.Context())
			c := l.dial()
			_, err := exchange(c)
			So(err, ShouldBeNil)
			_, err = io.WriteString(c, "\r\n")
			So(err, ShouldBeNil)
			So(c.SetReadDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
			_, readErr := c.Read(make([]byte, 1))
			So(c.Close(), ShouldBeNil)
			So(s.Stop(context.Background()), ShouldBeNil)
			So(readErr, ShouldEqual, io.EOF)
		})
	})
}
