package slope

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/dispatch"
	"github.com/fulmarhitch/fulmarhitch/frontend"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/key"
	"github.com/fulmarhitch/fulmarhitch/ledger"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
)

// BenchmarkLedger reports the memory of a used key with an answer of 200 bytes.
func BenchmarkLedger(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				now := time.Now()
				before := liveMemory()
				l := ledger.New(1, keys, now)
				for i := range keys {
					k := key.New(1, now.Add(time.Minute))
					l.Begin(k, uint64(i), now)
					l.Finish(k, outcome.Answered{Status: http.StatusOK, Body: make([]byte, 200)})
				}
				b.ReportMetric((liveMemory()-before)/float64(l.Len()), "bytes/key")
			}
		})
	}
}

// BenchmarkConnections reports the memory of a caller's idle connection and of a request that waits for a slot. Both
// include the caller's end of the connection, which is in the same process.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkConnections(b, n)
			}
		})
	}
}

func benchmarkConnections(b *testing.B, n int) {
	d := sizes[0].declaration(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dispatcher := dispatch.New("service-000/fd-0", dispatch.Options{})
	dispatcher.Update(d.Services[0], d.Services[0].Upstreams[:1])
	go func() { _ = dispatcher.Run(ctx) }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := frontend.New(frontend.Config{
		Bodies:   buffer.New(64<<20, func(string, int64) {}),
		Listener: l, Metrics: http.NotFoundHandler(), Log: logrus.NewEntry(logrus.New()),
		Current: func() *generation.Current { return &generation.Current{Declaration: d} },
		Run: func(ctx context.Context, r *request.Request) outcome.Outcome {
			if r.Path == "wait" {
				r.Deadline = time.Now().Add(time.Minute)
				dispatcher.Acquire(ctx, dispatch.Ticket{Request: r, NoSpill: true})
				<-ctx.Done()
			}
			return outcome.Answered{Status: http.StatusOK}
		},
	})
	if err := s.Start(ctx); err != nil {
		b.Fatal(err)
	}
	before := liveMemory()
	conns := openConnections(b, l.Addr().String(), n)
	idle := liveMemory()
	for _, c := range conns {
		sendRequest(b, c, "wait")
	}
	for s.Running() < int64(n) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	b.ReportMetric((idle-before)/float64(n), "bytes/connection")
	b.ReportMetric((liveMemory()-idle)/float64(n), "bytes/waiting")
	for _, c := range conns {
		_ = c.Close()
	}
	_ = s.Stop(ctx)
}

// openConnections returns n connections, on each of which one call was answered.
func openConnections(b *testing.B, address string, n int) []net.Conn {
	conns := make([]net.Conn, n)
	for i := range conns {
		var err error
		if conns[i], err = net.Dial("tcp", address); err != nil {
			b.Fatal(err)
		}
		sendRequest(b, conns[i], "now")
		res, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
	return conns
}

func sendRequest(b *testing.B, c net.Conn, path string) {
	_, err := fmt.Fprintf(c, "GET /v1/call/service-000/lookup/%s HTTP/1.1\r\nHost: a\r\nFulmarhitch-Request-Id: 0123456789\r\n\r\n", path)
	if err != nil {
		b.Fatal(err)
	}
}
