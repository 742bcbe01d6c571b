package faultproxy_test

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/faultproxy"
)

// startEcho starts a server that sends back all bytes, and returns its address.
func startEcho(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

// TestModes guards against a proxy that forwards bytes that it should hold back, or loses bytes that it held back.
func TestModes(t *testing.T) {
	for name, c := range map[string]struct {
		mode           faultproxy.Mode
		blocked, reset bool
		minTime        time.Duration
	}{
		"sound":   {mode: faultproxy.Forwarding},
		"slow":    {mode: faultproxy.Slow, minTime: 250 * time.Millisecond},
		"silent":  {mode: faultproxy.Blackhole, blocked: true},
		"one way": {mode: faultproxy.BlockToClient, blocked: true},
		"reset":   {mode: faultproxy.Reset, reset: true},
	} {
		Convey("Given a proxy that is "+name, t, func() {
			l, err := faultproxy.New(startEcho(t))
			So(err, ShouldBeNil)
			defer l.Close()
			conn, err := net.Dial("tcp", l.Address())
			So(err, ShouldBeNil)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			exchangeLine := func(timeout time.Duration) error {
				_ = conn.SetDeadline(time.Now().Add(timeout))
				if _, err := io.WriteString(conn, "x\n"); err != nil {
					return err
				}
				_, err := reader.ReadString('\n')
				return err
			}
			So(exchangeLine(5*time.Second), ShouldBeNil)
			l.Set(c.mode)
			start := time.Now()
			switch {
			case c.reset:
				So(exchangeLine(5*time.Second), ShouldNotBeNil)
				So(time.Since(start), ShouldBeLessThan, 5*time.Second)
			case c.blocked:
				So(exchangeLine(200*time.Millisecond), ShouldNotBeNil)
				l.Set(faultproxy.Forwarding)
				So(exchangeLine(5*time.Second), ShouldBeNil)
			default:
				So(exchangeLine(5*time.Second), ShouldBeNil)
				So(time.Since(start), ShouldBeGreaterThanOrEqualTo, c.minTime)
			}
		})
	}
}

// TestRefusing guards against a proxy that refuses connections and breaks the open ones, or whose port another process may get.
func TestRefusing(t *testing.T) {
	Convey("Given a proxy with an open connection that refuses new ones", t, func() {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer target.Close()
		p, err := faultproxy.New(target.Addr().String())
		So(err, ShouldBeNil)
		defer p.Close()
		open, err := net.Dial("tcp", p.Address())
		So(err, ShouldBeNil)
		defer open.Close()
		far, err := target.Accept()
		So(err, ShouldBeNil)
		defer far.Close()
		So(p.SetRefusing(true), ShouldBeNil)
		_, err = net.Dial("tcp", p.Address())
		So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
		_, err = open.Write([]byte("x"))
		So(err, ShouldBeNil)
		_, err = io.ReadFull(far, make([]byte, 1))
		So(err, ShouldBeNil)
		So(p.SetRefusing(false), ShouldBeNil)
		again, err := net.Dial("tcp", p.Address())
		So(err, ShouldBeNil)
		So(again.Close(), ShouldBeNil)
	})
}
