package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarhitch/fulmarhitch/gossip"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peer"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// countingListener counts the bytes of all connections that it accepts, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// serveVM returns a Gossip that uses real connections, and its peer address.
func serveVM(t *testing.T, name string, bytes *atomic.Int64) (*gossip.Gossip, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := peer.New(peer.DefaultOptions())
	address := l.Addr().String()
	g := gossip.New(member.Member{
		Name: name, Incarnation: "00000000000000aa", Address: address, PeerAddress: address, FailureDomain: "d",
	}, c, gossip.DefaultOptions(), discardLogger())
	mux := http.NewServeMux()
	peer.Mount(mux, peer.Hooks{Ping: g.Ping, Push: g.Push, Compare: g.Compare}, 1<<20)
	s := peer.Server(mux)
	go func() { _ = s.Serve(countingListener{l, bytes}) }()
	t.Cleanup(func() {
		_ = g.Stop(context.Background())
		c.Close()
		_ = s.Close()
	})
	return g, address
}

// TestWire guards against a protocol that works only on the simulated network, and against more overhead per message than
// TestBudget assumes. Three VMs find each other through the peer address of one.
func TestWire(t *testing.T) {
	Convey("Given three processes", t, func() {
		var bytes atomic.Int64
		vms := make([]*gossip.Gossip, 3)
		var first string
		for i := range vms {
			g, address := serveVM(t, fmt.Sprint("e", i), &bytes)
			if i == 0 {
				first = address
			}
			g.ApplyList([]member.Listed{{Name: first, PeerAddress: first}})
			vms[i] = g
		}
		for _, g := range vms {
			So(g.Start(context.Background()), ShouldBeNil)
		}
		for _, g := range vms {
			for start := time.Now(); len(g.Live()) < 3 && time.Since(start) < time.Minute; {
				time.Sleep(20 * time.Millisecond)
			}
			So(g.Live(), ShouldHaveLength, 3)
		}
		for _, g := range vms {
			So(g.Stop(context.Background()), ShouldBeNil)
		}
		c := peer.New(peer.DefaultOptions())
		defer c.Close()
		q := &peerpb.PingRequest{Sender: vms[1].Sender()}
		const calls = 200
		content := 0
		for i := range calls + 20 {
			if i == 20 {
				time.Sleep(100 * time.Millisecond)
				bytes.Store(0)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			res, err := c.Ping(ctx, first, q)
			cancel()
			So(err, ShouldBeNil)
			if i >= 20 {
				content += proto.Size(q) + proto.Size(res)
			}
		}
		overhead := float64(bytes.Load()-int64(content)) / calls / 2
		t.Logf("%.0f bytes of overhead per message", overhead)
		So(overhead, ShouldBeLessThan, messageOverhead-80)
	})
}
