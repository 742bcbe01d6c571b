package planner_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/envelope"
	"github.com/fulmarhitch/fulmarhitch/generation"
	"github.com/fulmarhitch/fulmarhitch/gossip"
	"github.com/fulmarhitch/fulmarhitch/group"
	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/metric"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
	"github.com/fulmarhitch/fulmarhitch/plan"
	"github.com/fulmarhitch/fulmarhitch/planner"
	"github.com/fulmarhitch/fulmarhitch/ring"
)

// noPeers is a transport that reaches no peer.
type noPeers struct{}

var errNoPeers = errors.New("no peers")

func (noPeers) Ping(context.Context, string, *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	return nil, errNoPeers
}

func (noPeers) Push(context.Context, string, *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	return nil, errNoPeers
}

func (noPeers) Compare(context.Context, string, *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	return nil, errNoPeers
}

// TestAnnouncement guards against a generation of a peer that this VM never pulls, because the first pull failed and the
// event is delivered only once.
func TestAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a peer with generation 7 whose pull fails", t, func() {
			log := logrus.New()
			log.SetOutput(io.Discard)
			self := member.Member{Name: "e1", Incarnation: "00000000000000a1", FailureDomain: "a", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}
			g := gossip.New(self, noPeers{}, gossip.DefaultOptions(), log)
			groups := group.New(1)
			announced := ring.New[uint64](16)
			plans := 0
			holder := generation.New(func(string, []byte) (*declaration.Declaration, error) { return &declaration.Declaration{}, nil })
			p := planner.New(planner.Config{Self: self, Holder: holder, Gossip: g, Groups: groups, Metrics: metric.New(),
				PeerGone: func(string) {}, Apply: func(*plan.Plan) { plans++ }, Suspect: func(*peerpb.SuspectEvent) {}, Announced: announced, Log: log})
			So(p.Start(context.Background()), ShouldBeNil)
			peer := &peerpb.MemberEvent{Name: "e2", Incarnation: "00000000000000b2", Address: "127.0.0.1:3", PeerAddress: "127.0.0.1:4",
				FailureDomain: "b", State: peerpb.MemberEvent_STATE_ALIVE, Counter: uint64(time.Now().UnixMilli())}
			_, err := g.Push(context.Background(), &peerpb.PushRequest{
				Sender: &peerpb.Sender{Name: "e2", Incarnation: peer.GetIncarnation(), FailureDomain: "b", Generation: 7},
				Events: []*peerpb.Event{{Kind: &peerpb.Event_Member{Member: peer}}},
			})
			So(err, ShouldBeNil)
			So(<-announced.Items(), ShouldEqual, 7)
			Convey("the generation is announced again until its configuration is installed", func() {
				So(<-announced.Items(), ShouldEqual, 7)
				So(plans, ShouldEqual, 0)
				_, err := holder.Install(envelope.Envelope{Generation: 7})
				So(err, ShouldBeNil)
				synctest.Wait()
				for announced.Len() > 0 {
					<-announced.Items()
				}
				time.Sleep(3 * time.Second)
				So(announced.Len(), ShouldEqual, 0)
				So(plans, ShouldEqual, 1)
			})
			So(p.Stop(context.Background()), ShouldBeNil)
			So(groups.Stop(context.Background()), ShouldBeNil)
		})
	})
}
