package link_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/link"
)

// echo starts a server that sends back each line.
func echo(t *testing.T) string {
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

// TestModes guards against a proxy that lets through what it should keep back, or loses what it kept back.
func TestModes(t *testing.T) {
	for name, c := range map[string]struct {
		mode        link.Mode
		late, reset bool
		least       time.Duration
	}{
		"sound":   {mode: link.Sound},
		"slow":    {mode: link.Slow, least: 250 * time.Millisecond},
		"silent":  {mode: link.Silent, late: true},
		"one way": {mode: link.OneWay, late: true},
		"reset":   {mode: link.Reset, reset: true},
	} {
		Convey("Given a link that is "+name, t, func() {
			l, err := link.New(echo(t))
			So(err, ShouldBeNil)
			defer l.Close()
			conn, err := net.Dial("tcp", l.Address())
			So(err, ShouldBeNil)
			defer conn.Close()
			in := bufio.NewReader(conn)
			ask := func(patience time.Duration) error {
				_ = conn.SetDeadline(time.Now().Add(patience))
				if _, err := io.WriteString(conn, "x\n"); err != nil {
					return err
				}
				_, err := in.ReadString('\n')
				return err
			}
			So(ask(5*time.Second), ShouldBeNil)
			l.Set(c.mode)
			began := time.Now()
			switch {
			case c.reset:
				So(ask(5*time.Second), ShouldNotBeNil)
				So(time.Since(began), ShouldBeLessThan, 5*time.Second)
			case c.late:
				So(ask(200*time.Millisecond), ShouldNotBeNil)
				l.Set(link.Sound)
				So(ask(5*time.Second), ShouldBeNil)
			default:
				So(ask(5*time.Second), ShouldBeNil)
				So(time.Since(began), ShouldBeGreaterThanOrEqualTo, c.least)
			}
		})
	}
}
