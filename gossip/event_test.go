package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

func upstream(s peerpb.UpstreamEvent_State, version uint64) *peerpb.Event {
	return &peerpb.Event{Kind: &peerpb.Event_Upstream{Upstream: &peerpb.UpstreamEvent{
		Service: "s", Upstream: "u", State: s, Version: version, Observer: "e000",
	}}}
}

func suspect(fingerprint, death uint64, age time.Duration) *peerpb.Event {
	return &peerpb.Event{Kind: &peerpb.Event_Suspect{Suspect: &peerpb.SuspectEvent{
		Fingerprint: fingerprint, Death: death, AgeMs: uint32(age.Milliseconds()),
	}}}
}

// TestEvents guards against events that are delivered to subscribers twice, out of order or malformed.
func TestEvents(t *testing.T) {
	const ready, draining = peerpb.UpstreamEvent_STATE_READY, peerpb.UpstreamEvent_STATE_DRAINING
	cases := map[string]struct {
		events []*peerpb.Event
		want   int // number of delivered events
		state  peerpb.UpstreamEvent_State
		err    bool
	}{
		"later version":             {[]*peerpb.Event{upstream(ready, 1), upstream(draining, 2)}, 2, draining, false},
		"earlier version":           {[]*peerpb.Event{upstream(draining, 2), upstream(ready, 1)}, 1, draining, false},
		"same version, drain first": {[]*peerpb.Event{upstream(draining, 2), upstream(ready, 2)}, 1, draining, false},
		"same version, drain last": {[]*peerpb.Event{upstream(ready, 2), upstream(draining, 2), upstream(draining, 2)},
			2, draining, false},
		"one death twice":     {[]*peerpb.Event{suspect(1, 1, 0), suspect(1, 1, time.Second)}, 1, 0, false},
		"two deaths":          {[]*peerpb.Event{suspect(1, 1, 0), suspect(1, 2, 0)}, 2, 0, false},
		"death over a minute": {[]*peerpb.Event{suspect(1, 1, time.Minute)}, 0, 0, false},
		"malformed":           {[]*peerpb.Event{upstream(ready, 1), upstream(9, 2)}, 0, 0, true},
		"no kind":             {[]*peerpb.Event{{}}, 0, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(_ *network, vms []*vm) {
				Convey(name, t, func() {
					events := vms[1].Subscribe()
					_, err := vms[1].Gossip.Push(context.Background(), &peerpb.PushRequest{Sender: vms[0].Sender(), Events: c.events})
					So(err != nil, ShouldEqual, c.err)
					time.Sleep(time.Second)
					So(len(events), ShouldEqual, c.want)
					got, _ := vms[1].Upstream("s", "u")
					So(got, ShouldEqual, c.state)
				})
			})
		})
	}
}

// TestOverflow guards against a subscriber that blocks the workers by not receiving, and against one that misses the
// last state of an upstream because its ring was full.
func TestOverflow(t *testing.T) {
	inBubble(t, 3, func(_ *network, vms []*vm) {
		Convey("Given a subscriber that receives nothing during 5000 events", t, func() {
			events := vms[1].Subscribe()
			for i := range 2500 {
				vms[0].Publish(drain(fmt.Sprint("u", i), 1))
			}
			time.Sleep(20 * time.Second)
			for i := range 2500 {
				vms[0].Publish(drain(fmt.Sprint("u", i), 2))
			}
			time.Sleep(60 * time.Second)
			So(countDisagreeing(vms, names(vms)), ShouldEqual, 0)
			last := map[string]uint64{}
			for idle := 0; idle < 2; idle++ {
				for len(events) > 0 {
					u := (<-events).GetUpstream()
					So(u.GetVersion(), ShouldBeGreaterThan, last[u.GetUpstream()])
					last[u.GetUpstream()] = u.GetVersion()
					idle = 0
				}
				time.Sleep(time.Second)
			}
			So(last, ShouldHaveLength, 2500)
			for _, version := range last {
				So(version, ShouldEqual, 2)
			}
		})
	})
}

// TestConfirm guards against an answer to the operator that lists VMs with the generation in force as missing or omits
// VMs without it, and against generations of a process that no longer runs.
func TestConfirm(t *testing.T) {
	inBubble(t, 60, func(n *network, vms []*vm) {
		Convey("Given 60 VMs of which one does not adopt the generation", t, func() {
			for _, v := range vms[1:] {
				v.SetGeneration(4)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			missing := vms[1].Confirm(ctx, 4)
			So(missing, ShouldHaveLength, 1)
			So(missing[0].Name, ShouldEqual, vms[0].name)
			vms[0].SetGeneration(4)
			So(vms[1].Confirm(context.Background(), 4), ShouldBeEmpty)
			vms[2].kill()
			vms[2] = n.add(2)
			vms[2].ApplyList(n.list)
			time.Sleep(4 * time.Second)
			So(vms[1].Generations()[vms[2].name], ShouldEqual, 0)
		})
	})
}

// TestIsolation guards against an isolated VM that counts its own messages as contact with a peer.
func TestIsolation(t *testing.T) {
	inBubble(t, 5, func(n *network, vms []*vm) {
		Convey("Given an isolated VM", t, func() {
			So(time.Since(vms[0].LastContact()), ShouldBeLessThan, time.Second)
			n.setFaults(0, func(from, to string) bool { return from == "e000" || to == "e000" })
			time.Sleep(4 * time.Second)
			So(time.Since(vms[0].LastContact()), ShouldBeGreaterThan, 3900*time.Millisecond)
			So(time.Since(vms[1].LastContact()), ShouldBeLessThan, time.Second)
		})
	})
}

// TestExpiredDeath guards against a death that VMs learn from each other again after they have removed it, and so count
// twice.
func TestExpiredDeath(t *testing.T) {
	inBubble(t, 20, func(_ *network, vms []*vm) {
		Convey("Given a death just under a minute ago", t, func() {
			events := vms[1].Subscribe()
			vms[0].Publish(suspect(1, 1, 59*time.Second))
			time.Sleep(50 * time.Second)
			So(len(events), ShouldEqual, 1)
		})
	})
}
