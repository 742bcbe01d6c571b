package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// endlessAnswer is an answer that begins with a text and continues with a repeated one until the connection closes.
type endlessAnswer struct {
	start, rest string
}

// head is the begin of a proper answer to the request r1.
const head = "HTTP/1.1 200 OK\r\nFulmarhitch-Request-Id: r1\r\n"

// endlessAnswers are the places in which bytes may come without end.
var endlessAnswers = map[string]endlessAnswer{
	"status line":              {"HTTP/1.1 200 ", "O"},
	"no HTTP":                  {"", "\x00\xff"},
	"header lines":             {head, "A: b\r\n"},
	"one header line":          {head + "A: ", "b"},
	"informational answers":    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"chunks":                   {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	"one chunk":                {head + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "x"},
	"chunk size":               {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":          {head + "Transfer-Encoding: chunked\r\n\r\n1;a=", "b"},
	"trailers":                 {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"body without a length":    {head + "\r\n", "x"},
	"body with a large length": {head + "Content-Length: 1000000000000\r\n\r\n", "x"},
	"body of another answer":   {"HTTP/1.1 200 OK\r\nFulmarhitch-Request-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "x"},
	"other answers":            {"", "HTTP/1.1 200 OK\r\nFulmarhitch-Request-Id: r0\r\nContent-Length: 1\r\n\r\nx"},
}

// isOwnBody reports whether the head is a proper one of the answer to the request r1, so that only the body has no end.
func (a endlessAnswer) isOwnBody() bool {
	return strings.HasPrefix(a.start, head) && strings.Contains(a.start, "\r\n\r\n")
}

// flood serves connections, on each of which it reads one request and then sends an answer without an end. With an interval
// it sends one byte at a time; with startAtOnce, this holds for the rest of the answer only.
type flood struct {
	net.Listener
	answer   endlessAnswer
	interval time.Duration

	startAtOnce bool
	// early leaves the body of the request unread.
	early bool
	// requests counts the requests; with soundAfterFirst, those after the first get a whole answer.
	requests        atomic.Int64
	soundAfterFirst bool
	// open is the number of connections that are open.
	open atomic.Int64
}

func startFlood(t testing.TB, a endlessAnswer, interval time.Duration) *flood {
	return (&flood{answer: a, interval: interval}).listen(t)
}

// listen starts the flood and returns it.
func (f *flood) listen(t testing.TB) *flood {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.Listener = l
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.open.Add(1)
			go func() {
				defer f.open.Add(-1)
				defer c.Close()
				f.serve(c)
			}()
		}
	}()
	return f
}

func (f *flood) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !f.early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if f.requests.Add(1) > 1 && f.soundAfterFirst {
		_, _ = io.WriteString(c, response(r.Header.Get("Fulmarhitch-Request-Id"), "sound"))
		return
	}
	if f.answer.rest == "" {
		_, _ = io.WriteString(c, f.answer.start)
		_, _ = c.Read(make([]byte, 1))
		return
	}
	rest := []byte(strings.Repeat(f.answer.rest, 1+(32<<10)/len(f.answer.rest)))
	if f.interval == 0 {
		_, err = io.WriteString(c, f.answer.start)
		for err == nil {
			_, err = c.Write(rest)
		}
		return
	}
	if drip := []byte(f.answer.start); f.startAtOnce {
		_, _ = c.Write(drip)
	} else {
		rest = append(drip, rest...)
	}
	for _, b := range rest {
		if _, err := c.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(f.interval)
	}
}

// isClosed reports whether all connections close within the time.
func (f *flood) isClosed(within time.Duration) bool {
	for end := time.Now().Add(within); f.open.Load() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// checkGoroutines reports goroutines that remain after the test and its parallel parts.
func checkGoroutines(t *testing.T) {
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
}

// closeTimeout is longer than a closed connection needs to reach the other side on a busy machine.
const closeTimeout = 10 * time.Second

// TestEndlessAnswers guards against an answer without an end that is reported as success or as not run, that keeps its
// connection or a goroutine, or that is read beyond a bound.
func TestEndlessAnswers(t *testing.T) {
	// maxTime is far below the deadline of the requests, and far above the time that a megabyte takes.
	const maxAnswer, maxMemory, maxTime = 1 << 20, 4 << 20, testTimeout / 3
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			f := (&flood{answer: answer, soundAfterFirst: true}).listen(t)
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			b := buffer.New(maxMemory, func(string, int64) {})
			e := exchange.NewWithDialect(fourConnections, lenient, b)
			defer e.Close()
			start := time.Now()
			res := e.Do(t.Context(), newVerbatimRequest("r1", "body"), upstream(f.Addr().String()), maxAnswer)
			if took := time.Since(start); took > maxTime {
				t.Errorf("read for %s", took)
			}
			if _, ok := res.Outcome.(outcome.Unknown); !ok {
				t.Errorf("class %s, outcome %+v", res.Class, res.Outcome)
			}
			if !f.isClosed(closeTimeout) {
				t.Error("the connection stays open")
			}
			if b.Used() != 0 {
				t.Errorf("%d bytes stay held", b.Used())
			}
			res = e.Do(t.Context(), newVerbatimRequest("r2", ""), upstream(f.Addr().String()), maxAnswer)
			if a, ok := res.Outcome.(outcome.Answered); !ok || string(a.Body) != "sound" {
				t.Errorf("next request: class %s, outcome %+v", res.Class, res.Outcome)
			}
		})
	}
}

// TestEarlyEndlessAnswers guards against the same faults if the answer comes while the request is being written, and the
// upstream never reads the rest of it.
func TestEarlyEndlessAnswers(t *testing.T) {
	checkGoroutines(t)
	const maxAnswer, deadline = 1 << 20, time.Second
	for size, length := range map[string]int{"short request": 10, "long request": 32 << 20} {
		for speed, interval := range map[string]time.Duration{"flood": 0, "drip": 10 * time.Millisecond} {
			for name, answer := range endlessAnswers {
				t.Run(size+", "+speed+", "+name, func(t *testing.T) {
					t.Parallel()
					f := (&flood{answer: answer, early: true, interval: interval}).listen(t)
					b := buffer.New(4<<20, func(string, int64) {})
					e := exchange.NewWithDialect(fourConnections, lenient, b)
					defer e.Close()
					r := newVerbatimRequest("r1", strings.Repeat("b", length))
					r.Deadline = time.Now().Add(deadline)
					res := e.Do(t.Context(), r, upstream(f.Addr().String()), maxAnswer)
					if late := time.Since(r.Deadline); late > closeTimeout {
						t.Errorf("ended %s after the deadline", late)
					}
					if _, ok := res.Outcome.(outcome.Unknown); !ok {
						t.Errorf("class %s, outcome %+v", res.Class, res.Outcome)
					}
					if !f.isClosed(closeTimeout) {
						t.Error("the connection stays open")
					}
					if b.Used() != 0 {
						t.Errorf("%d bytes stay held", b.Used())
					}
				})
			}
		}
	}
}

// TestEndlessPolls guards against a poll or a health check whose answer has no end, or arrives byte by byte, and that takes
// memory, or its connection, for long.
func TestEndlessPolls(t *testing.T) {
	checkGoroutines(t)
	const deadline = time.Second
	polls := map[string]func(*testing.T, *exchange.Exchanger, string) bool{
		"poll": func(t *testing.T, e *exchange.Exchanger, address string) bool {
			r := newVerbatimRequest("", "")
			r.Deadline = time.Now().Add(deadline)
			_, ok := e.Poll(t.Context(), r, upstream(address)).Outcome.(outcome.Unknown)
			return ok
		},
		"health check": func(t *testing.T, e *exchange.Exchanger, address string) bool {
			_, err := e.Health(t.Context(), "s", upstream(address))
			return err != nil
		},
	}
	for kind, poll := range polls {
		for speed, interval := range map[string]time.Duration{"flood": 0, "drip": 10 * time.Millisecond} {
			for name, answer := range endlessAnswers {
				t.Run(kind+", "+speed+", "+name, func(t *testing.T) {
					t.Parallel()
					f := startFlood(t, answer, interval)
					e := exchange.NewWithDialect(fourConnections, lenient, buffer.New(1<<20, func(string, int64) {}))
					if kind == "health check" {
						e = exchange.New(fourConnections)
					}
					defer e.Close()
					start := time.Now()
					if !poll(t, e, f.Addr().String()) {
						t.Error("reported as success or as not run")
					}
					if took := time.Since(start); took > deadline+closeTimeout {
						t.Errorf("read for %s", took)
					}
					if !f.isClosed(closeTimeout) {
						t.Error("the connection stays open")
					}
				})
			}
		}
	}
}

// TestDrip guards against an answer that arrives byte by byte and is read beyond the request's deadline.
func TestDrip(t *testing.T) {
	const wait = 300 * time.Millisecond
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			f := startFlood(t, answer, 20*time.Millisecond)
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			e := exchange.NewWithDialect(fourConnections, lenient, buffer.New(1<<20, func(string, int64) {}))
			defer e.Close()
			r := newVerbatimRequest("r1", "")
			r.Deadline = time.Now().Add(wait)
			res := e.Do(t.Context(), r, upstream(f.Addr().String()), 1<<20)
			if late := time.Since(r.Deadline); late > closeTimeout {
				t.Errorf("ended %s after the deadline", late)
			}
			if _, ok := res.Outcome.(outcome.Unknown); !ok {
				t.Errorf("class %s, outcome %+v", res.Class, res.Outcome)
			}
			if !f.isClosed(closeTimeout) {
				t.Error("the connection stays open")
			}
		})
	}
}

// TestCallerLeaves guards against an answer that has begun, and that is read on for seconds after its caller has left.
func TestCallerLeaves(t *testing.T) {
	checkGoroutines(t)
	// maxAnswer is above the large length that an answer states.
	const maxAnswer, maxTime = 1 << 50, 500 * time.Millisecond
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := (&flood{answer: answer, interval: 20 * time.Millisecond, startAtOnce: true}).listen(t)
			e := exchange.NewWithDialect(fourConnections, lenient, buffer.New(1<<20, func(string, int64) {}))
			defer e.Close()
			caller, leave := context.WithCancel(t.Context())
			result := make(chan exchange.Result, 1)
			go func() {
				result <- e.DoFor(t.Context(), caller, newVerbatimRequest("r1", ""), upstream(f.Addr().String()), maxAnswer)
			}()
			select {
			case res := <-result:
				t.Fatalf("class %s before the caller left", res.Class)
			case <-time.After(300 * time.Millisecond):
			}
			leave()
			start := time.Now()
			res := <-result
			if took := time.Since(start); took > maxTime {
				t.Errorf("read on for %s", took)
			}
			want := exchange.Lost
			if answer.isOwnBody() {
				want = exchange.Truncated
			}
			if _, ok := res.Outcome.(outcome.Unknown); !ok || res.Class != want {
				t.Errorf("class %s, want %s, outcome %+v", res.Class, want, res.Outcome)
			}
			if !f.isClosed(closeTimeout) {
				t.Error("the connection stays open")
			}
		})
	}
}

// TestCallerLeavesLongAnswer guards against an upstream that counts as failing because its answer is long and its caller left.
func TestCallerLeavesLongAnswer(t *testing.T) {
	checkGoroutines(t)
	body := strings.Repeat("b", 100<<10)
	c := startPaced(t, strings.TrimSuffix(response("r1", body), body[:50<<10]), time.Second, "")
	e := exchange.NewWithDialect(fourConnections, lenient, buffer.New(1<<20, func(string, int64) {}))
	defer e.Close()
	caller, leave := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, leave)
	res := e.DoFor(t.Context(), caller, newVerbatimRequest("r1", ""), upstream(c), 1<<20)
	if res.Class != exchange.Cancelled {
		t.Errorf("class %s, outcome %+v", res.Class, res.Outcome)
	}
}

// TestSilenceAfterCallerLeft guards against a request that is broken off because its upstream is still at work on it after
// its caller has left.
func TestSilenceAfterCallerLeft(t *testing.T) {
	checkGoroutines(t)
	for name, before := range map[string]string{
		"no answer yet":                "",
		"after informational answers":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
		"after the answer of another":  response("r0", "late"),
		"informational one in between": response("r0", "late") + "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startPaced(t, before, time.Second, response("r1", "done"))
			e := exchange.NewWithDialect(fourConnections, lenient, buffer.New(1<<20, func(string, int64) {}))
			defer e.Close()
			caller, leave := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, leave)
			res := e.DoFor(t.Context(), caller, newVerbatimRequest("r1", ""), upstream(c), 1<<20)
			if a, ok := res.Outcome.(outcome.Answered); !ok || string(a.Body) != "done" {
				t.Errorf("class %s, outcome %+v", res.Class, res.Outcome)
			}
		})
	}
}

// startPaced starts an upstream that answers with the text before, a pause and the text after, and returns its address.
func startPaced(t *testing.T, before string, pause time.Duration, after string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var done sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		done.Wait()
	})
	done.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, before)
		time.Sleep(pause)
		_, _ = io.WriteString(c, after)
	})
	return l.Addr().String()
}

// TestIdleFlood guards against bytes that arrive on an idle connection and stay there, or are taken for the next answer.
func TestIdleFlood(t *testing.T) {
	fake := response("r1", "fake")
	tests := map[string]struct {
		// extra is sent with the end of the first answer, and rest after it until the connection closes.
		extra, rest string
		interval    time.Duration
	}{
		"beyond the stated length":       {strings.Repeat("x", 1<<10), "", 0},
		"answer beyond the length":       {fake, "", 0},
		"beyond the length, without end": {"x", "x", 0},
		"later, without end":             {"", "x", 0},
		"later, byte by byte":            {"", "x", 20 * time.Millisecond},
		"answers, without end":           {"", fake, 0},
	}
	for name, test := range tests {
		for sweep, isSwept := range map[string]bool{"swept": true, "used at once": false} {
			t.Run(name+", "+sweep, func(t *testing.T) {
				first := response("r0", "first") + test.extra
				f := (&flood{answer: endlessAnswer{first, test.rest}, interval: test.interval, startAtOnce: true, soundAfterFirst: true}).listen(t)
				defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
				e := exchange.NewWithDialect(fourConnections, lenient, buffer.New(1<<20, func(string, int64) {}))
				defer e.Close()
				up := upstream(f.Addr().String())
				res := e.Do(t.Context(), newVerbatimRequest("r0", ""), up, 1<<20)
				if a, ok := res.Outcome.(outcome.Answered); !ok || string(a.Body) != "first" {
					t.Errorf("first request: class %s, outcome %+v", res.Class, res.Outcome)
				}
				time.Sleep(50 * time.Millisecond)
				if isSwept {
					e.CloseBroken()
					if !f.isClosed(closeTimeout) {
						t.Error("the connection stays open")
					}
				}
				res = e.Do(t.Context(), newVerbatimRequest("r1", ""), up, 1<<20)
				if a, ok := res.Outcome.(outcome.Answered); !ok || string(a.Body) != "sound" {
					t.Errorf("next request: class %s, outcome %+v", res.Class, res.Outcome)
				}
				if !f.isClosed(closeTimeout) {
					t.Error("a connection stays open")
				}
			})
		}
	}
}

// TestManyEndlessAnswers guards against answers without an end that together take more memory than a VM has, or that make
// requests to sound upstreams fail.
func TestManyEndlessAnswers(t *testing.T) {
	const (
		floods = 200
		// memory is that of the smallest VM, and a quarter of it is for bodies.
		memory    = 184 << 20
		maxAnswer = 16 << 20
		requests  = 200
		maxFailed = requests / 100
	)
	f := startFlood(t, endlessAnswer{head + "\r\n", "x"}, 0)
	sound := startScripted(t, func(_ int64, r *http.Request) (string, bool) {
		return response(r.Header.Get("Fulmarhitch-Request-Id"), strings.Repeat("y", 5000)), true
	})
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	b := buffer.New(memory/4, func(string, int64) {})
	e := exchange.NewWithDialect(func(string) int { return floods }, lenient, b)
	defer e.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for range floods {
		all.Go(func() {
			for ctx.Err() == nil {
				res := e.Do(ctx, newVerbatimRequest("r1", ""), upstream(f.Addr().String()), maxAnswer)
				if _, ok := res.Outcome.(outcome.Answered); ok {
					t.Error("an answer without an end was reported as success")
				}
			}
		})
	}
	failed, peak := 0, uint64(0)
	for range requests {
		res := e.Do(t.Context(), newVerbatimRequest("r2", ""), upstream(sound.Addr().String()), maxAnswer)
		if _, ok := res.Outcome.(outcome.Answered); !ok {
			failed++
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc-min(before.HeapAlloc, m.HeapAlloc))
		if used := b.Used(); used > memory/4 {
			t.Errorf("%d bytes held", used)
		}
	}
	cancel()
	all.Wait()
	if failed > maxFailed {
		t.Errorf("%d of %d requests to a sound upstream failed", failed, requests)
	}
	if peak > memory {
		t.Errorf("the heap grew by %d MB", peak>>20)
	}
	t.Logf("heap grew by %d MB, %d answers cut off", peak>>20, b.Evictions())
}

// newVerbatimRequest returns a request whose path is a whole target.
func newVerbatimRequest(id, body string) *request.Request {
	r := newRequest(id, body)
	r.Path = "/p"
	return r
}

// lenient is the dialect of upstreams whose answers may end with their connections.
var lenient = func() exchange.Dialect {
	return exchange.Dialect{
		RequestID: "Fulmarhitch-Request-Id", Deadline: "Fulmarhitch-Deadline-Ms", AllowCloseDelimited: true, MaxMismatched: 2, Verbatim: true,
		EndToEnd: func(h http.Header) http.Header { return h }, Report: func(*http.Response, *exchange.Result) {},
		Statement: func(*http.Response) exchange.Statement { return exchange.Run{} },
		IsAltered: func(*http.Response) bool { return false },
	}
}()

// FuzzAnswer guards against bytes from an upstream that end the process, take memory without a bound, or are reported as an
// answer to a request that they don't name.
func FuzzAnswer(f *testing.F) {
	for _, a := range endlessAnswers {
		f.Add([]byte(a.start + strings.Repeat(a.rest, 10)))
	}
	f.Add([]byte(head + "Content-Length: 2\r\n\r\nok"))
	f.Add([]byte(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		s := startScripted(t, func(int64, *http.Request) (string, bool) { return string(answer), false })
		defer s.Close()
		b := buffer.New(256<<10, func(string, int64) {})
		e := exchange.NewWithDialect(fourConnections, lenient, b)
		defer e.Close()
		r := &request.Request{ID: "r1", Service: "s", Method: http.MethodGet, Path: "/p", Header: http.Header{}, Deadline: time.Now().Add(time.Second)}
		res := e.Do(t.Context(), r, upstream(s.Addr().String()), 64<<10)
		a, answered := res.Outcome.(outcome.Answered)
		if answered && !bytes.Contains(answer, []byte("r1")) {
			t.Errorf("answer %+v to a request that the bytes don't name", a)
		}
		if answered && len(a.Body) > 64<<10 {
			t.Errorf("body of %d bytes", len(a.Body))
		}
		if _, notRun := res.Outcome.(outcome.NotRun); notRun {
			t.Errorf("outcome %+v of a request that was sent", res.Outcome)
		}
		if b.Used() != 0 {
			t.Errorf("%d bytes stay held", b.Used())
		}
	})
}
