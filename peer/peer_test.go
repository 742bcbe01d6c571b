package peer_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/request"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var sender = &peerpb.Sender{Name: "e1", Incarnation: "00000000000000aa", FailureDomain: "d1"}

func sampleRequest() *peerpb.RunRequest {
	now := time.Now()
	return peer.EncodeRequest(sender, peerpb.RunRequest_MODE_HOME, "s/d1", &request.Request{
		ID: "r1", Tenant: "t", Service: "s", Kind: "k", Method: "POST", Path: "p?q=1",
		Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("body"), Deadline: now.Add(time.Second), Depth: 2,
	}, now)
}

func serve(t testing.TB, h peer.Hooks) string {
	mux := http.NewServeMux()
	peer.Mount(mux, h, 1<<20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.Server(mux)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func newClient(t testing.TB) *peer.Client {
	c := peer.New(peer.DefaultOptions())
	t.Cleanup(c.Close)
	return c
}

func echo(_ context.Context, m *peerpb.RunRequest) (*peerpb.RunResponse, error) {
	r, err := peer.DecodeRequest(m, time.Now())
	if err != nil {
		return nil, err
	}
	return peer.EncodeOutcome(r.ID, outcome.Answered{Status: 200, Header: r.Header, Body: r.Body}, 3, 4), nil
}

// TestRun guards against requests or outcomes that are altered between VMs.
func TestRun(t *testing.T) {
	Convey("Given a peer that echoes", t, func() {
		res, err := newClient(t).Run(context.Background(), serve(t, peer.Hooks{Run: echo}), sampleRequest())
		So(err, ShouldBeNil)
		out, err := peer.DecodeOutcome(res, "r1")
		So(err, ShouldBeNil)
		So(out, ShouldResemble, outcome.Answered{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("body")})
		So(res.GetLoad().GetFreeSlots(), ShouldEqual, 3)
		So(res.GetLoad().GetWaiting(), ShouldEqual, 4)
		for _, out := range []outcome.Outcome{outcome.NotRun{Reason: outcome.QueueFull, Detail: "d"}, outcome.Unknown{Reason: outcome.Timeout}} {
			got, err := peer.DecodeOutcome(peer.EncodeOutcome("r1", out, 0, 0), "r1")
			So(err, ShouldBeNil)
			So(got, ShouldResemble, out)
		}
	})
}

// blackHole returns the address of a listener that accepts connections and never responds.
func blackHole(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

// TestFaults guards against calls that outlast their deadline, and against ErrUnsent for a request that may have reached
// the peer.
func TestFaults(t *testing.T) {
	other := func(context.Context, *peerpb.RunRequest) (*peerpb.RunResponse, error) {
		return peer.EncodeOutcome("r2", outcome.NotRun{Reason: outcome.QueueFull}, 0, 0), nil
	}
	slow := func(ctx context.Context, _ *peerpb.RunRequest) (*peerpb.RunResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	large := sampleRequest()
	large.Body = make([]byte, peer.DefaultMaxMessage+1)
	cases := map[string]struct {
		address func(*testing.T) string
		message *peerpb.RunRequest
		unsent  bool
	}{
		"refused":         {address: closedAddress, unsent: true},
		"black hole":      {address: blackHole},
		"slow hook":       {address: func(t *testing.T) string { return serve(t, peer.Hooks{Run: slow}) }},
		"other request":   {address: func(t *testing.T) string { return serve(t, peer.Hooks{Run: other}) }},
		"no hook":         {address: func(t *testing.T) string { return serve(t, peer.Hooks{}) }},
		"no address":      {address: func(*testing.T) string { return "127.0.0.1:0" }, unsent: true},
		"above the bound": {address: func(t *testing.T) string { return serve(t, peer.Hooks{Run: echo}) }, message: large, unsent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			Convey(name, t, func() {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				m := c.message
				if m == nil {
					m = sampleRequest()
				}
				_, err := newClient(t).Run(ctx, c.address(t), m)
				So(err, ShouldNotBeNil)
				So(errors.Is(err, peer.ErrUnsent), ShouldEqual, c.unsent)
			})
		})
	}
}

// TestReplay guards against a request that is sent again after its connection broke and so runs twice.
func TestReplay(t *testing.T) {
	Convey("Given a peer that closes the connection while it runs the request", t, func() {
		var runs atomic.Int32
		conns := make(chan net.Conn, 8)
		mux := http.NewServeMux()
		peer.Mount(mux, peer.Hooks{Run: func(ctx context.Context, m *peerpb.RunRequest) (*peerpb.RunResponse, error) {
			runs.Add(1)
			for len(conns) > 0 {
				_ = (<-conns).Close()
			}
			return echo(ctx, m)
		}}, 1<<20)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := peer.Server(mux)
		s.ConnState = func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				conns <- c
			}
		}
		go func() { _ = s.Serve(l) }()
		defer s.Close()
		_, err = newClient(t).Run(context.Background(), l.Addr().String(), sampleRequest())
		So(err, ShouldNotBeNil)
		So(errors.Is(err, peer.ErrUnsent), ShouldBeFalse)
		So(runs.Load(), ShouldEqual, 1)
	})
}

// TestMalformed guards against hooks that receive messages with malformed fields.
func TestMalformed(t *testing.T) {
	cases := map[string]func(*peerpb.RunRequest){
		"no sender":       func(m *peerpb.RunRequest) { m.Sender = nil },
		"incarnation":     func(m *peerpb.RunRequest) { m.Sender.Incarnation = "xyz" },
		"mode":            func(m *peerpb.RunRequest) { m.Mode = 9 },
		"no id":           func(m *peerpb.RunRequest) { m.RequestId = "" },
		"deadline passed": func(m *peerpb.RunRequest) { m.TimeoutUs = -1 },
		"huge timeout":    func(m *peerpb.RunRequest) { m.TimeoutUs = 1 << 62 },
		"depth":           func(m *peerpb.RunRequest) { m.Depth = 25 },
		"header name":     func(m *peerpb.RunRequest) { m.Headers = []*peerpb.Header{{}} },
		"header line end": func(m *peerpb.RunRequest) { m.Headers = []*peerpb.Header{{Name: "A", Values: []string{"b\r\nC: d"}}} },
		"method":          func(m *peerpb.RunRequest) { m.Method = "GET /" },
		"path":            func(m *peerpb.RunRequest) { m.Path = "a HTTP/1.1\r\n" },
		"above the bound": func(m *peerpb.RunRequest) { m.Body = make([]byte, 2<<20) },
	}
	var seen atomic.Int32
	address := serve(t, peer.Hooks{Run: func(ctx context.Context, m *peerpb.RunRequest) (*peerpb.RunResponse, error) {
		seen.Add(1)
		return echo(ctx, m)
	}})
	Convey("Given malformed messages", t, func() {
		for name, change := range cases {
			Convey(name, func() {
				m := proto.CloneOf(sampleRequest())
				change(m)
				_, err := newClient(t).Run(context.Background(), address, m)
				So(err, ShouldNotBeNil)
				So(errors.Is(err, peer.ErrUnsent), ShouldBeFalse)
				So(seen.Load(), ShouldEqual, 0)
			})
		}
	})
}

// FuzzMessages guards against messages of peers that cause a panic or pass validation with fields out of bounds.
func FuzzMessages(f *testing.F) {
	run, _ := proto.Marshal(sampleRequest())
	answer, _ := proto.Marshal(peer.EncodeOutcome("r1", outcome.Unknown{Reason: outcome.Timeout}, 1, 2))
	push, _ := proto.Marshal(&peerpb.PushRequest{Sender: sender, Events: []*peerpb.Event{
		{Kind: &peerpb.Event_Generation{Generation: &peerpb.GenerationEvent{Generation: 1, Holder: "e1"}}}, {},
	}})
	for _, seed := range [][]byte{run, answer, push, nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var q peerpb.RunRequest
		if proto.Unmarshal(data, &q) == nil {
			if r, err := peer.DecodeRequest(&q, time.Now()); err == nil && (r.ID == "" || r.Depth > request.MaxDepth) {
				t.Errorf("accepted %v", r)
			}
		}
		var a peerpb.RunResponse
		if proto.Unmarshal(data, &a) == nil {
			if out, err := peer.DecodeOutcome(&a, "r1"); err == nil && (out == nil || a.GetRequestId() != "r1") {
				t.Errorf("accepted %v", &a)
			}
		}
		var p peerpb.PushRequest
		if proto.Unmarshal(data, &p) == nil && peer.CheckEvents(p.GetEvents()) == nil {
			for _, e := range p.GetEvents() {
				if e.GetKind() == nil {
					t.Errorf("accepted %v", &p)
				}
			}
		}
	})
}

// BenchmarkRun measures calls over loopback, one at a time and from many goroutines.
func BenchmarkRun(b *testing.B) {
	address, c, m := serve(b, peer.Hooks{Run: echo}), newClient(b), sampleRequest()
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			if _, err := c.Run(context.Background(), address, m); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("many", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := c.Run(context.Background(), address, m); err != nil {
					b.Error(err)
				}
			}
		})
	})
}
