package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// interruption is how an upstream ends a connection.
type interruption struct {
	// offset is the number of bytes of the request after which it does so.
	offset int
	end    func(*net.TCPConn)
	// isKept reports whether another request is answered on the connection before.
	isKept bool
}

// interruptions are the ways in which an upstream ends a connection. It reads on where the connection still allows it.
var interruptions = map[string]func(*net.TCPConn){
	"resets":        func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	"closes":        func(c *net.TCPConn) { _ = c.Close() },
	"stops writing": func(c *net.TCPConn) { _ = c.CloseWrite() },
	"stalls":        func(*net.TCPConn) { time.Sleep(2 * interruptedTime) },
}

// stallSteps is the distance of the offsets at which an upstream stalls, which takes until the deadline.
const stallSteps = 20

// interruptedTime is the time until the deadline of an interrupted request.
const interruptedTime = 40 * time.Millisecond

// interruptedUpstream is an upstream that interrupts a request and counts the bytes of it that arrive.
type interruptedUpstream struct {
	net.Listener
	interruption
	mu       sync.Mutex
	received int64
	ended    sync.WaitGroup
}

func startInterrupted(t *testing.T, i interruption) *interruptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &interruptedUpstream{Listener: l, interruption: i}
	u.ended.Add(1)
	go func() {
		defer u.ended.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.ended.Go(func() { u.serve(c.(*net.TCPConn)) })
		}
	}()
	return u
}

func (u *interruptedUpstream) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 16)
	if u.isKept {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, response(r.Header.Get("Fulmarhitch-Request-Id"), "first"))
	}
	n, _ := io.CopyN(io.Discard, in, int64(u.offset))
	u.end(c)
	rest, _ := io.Copy(io.Discard, in)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received += n + rest
}

// stop closes the listener and returns the number of received bytes once all connections have ended.
func (u *interruptedUpstream) stop() int64 {
	_ = u.Close()
	u.ended.Wait()
	return u.received
}

// checkInterrupted sends a request that is interrupted and reports a request that is told as not run although bytes of it arrived.
func checkInterrupted(t *testing.T, i interruption, body string, leave func(cancel, leave context.CancelFunc)) {
	u := startInterrupted(t, i)
	e := exchange.New(fourConnections)
	if i.isKept {
		if res := e.Do(t.Context(), newRequest("r0", ""), upstream(u.Addr().String()), 1<<20); res.Class != exchange.Answered {
			t.Errorf("first request: %+v", res)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	caller, callerLeaves := context.WithCancel(t.Context())
	defer cancel()
	defer callerLeaves()
	if leave != nil {
		go leave(cancel, callerLeaves)
	}
	r := newRequest("r1", body)
	r.Deadline = time.Now().Add(interruptedTime)
	res := e.DoFor(ctx, caller, r, upstream(u.Addr().String()), 1<<20)
	e.Close()
	received := u.stop()
	if _, isNotRun := res.Outcome.(outcome.NotRun); isNotRun && received > 0 {
		t.Errorf("offset %d: %d bytes arrived of a request that ended as %+v", i.offset, received, res)
	}
}

// TestInterruptedWrite guards against a request that is told as not run although bytes of it reach its upstream, where the
// connection ends at any byte of the request.
func TestInterruptedWrite(t *testing.T) {
	bodies := map[string]struct {
		body           string
		offsets, steps int
	}{
		"no body":    {"", 240, 1},
		"small body": {strings.Repeat("x", 100), 340, 1},
		"large body": {strings.Repeat("x", 8<<20), 8 << 20, 2 << 20},
	}
	for end, do := range interruptions {
		for name, b := range bodies {
			for kind, isKept := range map[string]bool{"new": false, "kept": true} {
				t.Run(fmt.Sprintf("upstream %s a %s connection, %s", end, kind, name), func(t *testing.T) {
					t.Parallel()
					steps := b.steps
					if end == "stalls" {
						steps = max(steps, stallSteps)
					}
					for offset := 0; offset < b.offsets; offset += steps {
						checkInterrupted(t, interruption{offset, do, isKept}, b.body, nil)
					}
				})
			}
		}
	}
}

// TestInterruptedRequest is like TestInterruptedWrite for requests that are cancelled, or whose callers leave, at any moment.
func TestInterruptedRequest(t *testing.T) {
	const rounds, maxDelay = 100, 400 * time.Microsecond
	leaves := map[string]func(cancel, leave context.CancelFunc){
		"cancelled":     func(cancel, _ context.CancelFunc) { cancel() },
		"caller leaves": func(_, leave context.CancelFunc) { leave() },
	}
	for name, leave := range leaves {
		for size, body := range map[string]string{"small body": "x", "large body": strings.Repeat("x", 256<<10)} {
			for kind, isKept := range map[string]bool{"new": false, "kept": true} {
				t.Run(name+", "+size+", "+kind+" connection", func(t *testing.T) {
					t.Parallel()
					for range rounds {
						checkInterrupted(t, interruption{0, func(*net.TCPConn) {}, isKept}, body, func(cancel, callerLeaves context.CancelFunc) {
							time.Sleep(rand.N(maxDelay))
							leave(cancel, callerLeaves)
						})
					}
				})
			}
		}
	}
}
