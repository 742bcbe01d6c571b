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

// counted counts the bytes of all connections that it accepts, in both directions.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// process is a VM over real connections.
func process(t *testing.T, name string, bytes *atomic.Int64) (*gossip.Gossip, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := peer.New(peer.DefaultOptions())
	address := l.Addr().String()
	g := gossip.New(member.Member{
		Name: name, Incarnation: "00000000000000aa", Address: address, PeerAddress: address, FailureDomain: "d",
	}, c, gossip.DefaultOptions(), quiet())
	mux := http.NewServeMux()
	peer.Mount(mux, peer.Hooks{Ping: g.Ping, Push: g.Push, Compare: g.Compare}, 1<<20)
	s := peer.Server(mux)
	go func() { _ = s.Serve(counted{l, bytes}) }()
	t.Cleanup(func() {
		_ = g.Stop(context.Background())
		c.Close()
		_ = s.Close()
	})
	return g, address
}

// TestWire guards against a protocol that only works without connections: three VMs find each other through the peer
// address of one, and a message costs no more bytes beside its content than TestBudget assumes.
func TestWire(t *testing.T) {
	Convey("Given three processes", t, func() {
		var bytes atomic.Int64
		vms := make([]*gossip.Gossip, 3)
		var first string
		for i := range vms {
			g, address := process(t, fmt.Sprint("e", i), &bytes)
			if i == 0 {
				first = address
			}
			g.List([]member.Listed{{Name: first, PeerAddress: first}})
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
		added := float64(bytes.Load()-int64(content)) / calls / 2
		t.Logf("%.0f bytes beside the content of a message", added)
		So(added, ShouldBeLessThan, legBytes-80)
	})
}
