package gossip_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

// usable returns the names that the VM would choose as homes.
func usable(v *vm) []string {
	var names []string
	for _, m := range v.Live() {
		if m.Usable() {
			names = append(names, m.Name)
		}
	}
	return names
}

// disagreeing counts the running VMs whose usable VMs are not want.
func disagreeing(vms []*vm, want []string) int {
	n := 0
	for _, v := range vms {
		if !v.down && !slices.Equal(usable(v), want) {
			n++
		}
	}
	return n
}

func names(vms []*vm, without ...int) []string {
	var all []string
	for i, v := range vms {
		if !slices.Contains(without, i) {
			all = append(all, v.name)
		}
	}
	return all
}

// TestFaults guards against VMs that disagree about the candidates for homes after a fault: 4 s after the fault and
// 4 s after its end every running VM must see the same ones. The VM list is down throughout.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		fault, end         func(n *network, vms []*vm)
		without            []int // VMs not usable during the fault
		after              []int // VMs not usable after its end
		skip               []int // VMs whose own view does not count during the fault
		duration, recovery time.Duration
	}{
		"kill": {
			fault:   func(_ *network, vms []*vm) { vms[3].kill() },
			without: []int{3}, after: []int{3}, duration: 4 * time.Second,
		},
		"kill five at once": {
			fault: func(_ *network, vms []*vm) {
				for _, v := range vms[:5] {
					v.kill()
				}
			},
			without: []int{0, 1, 2, 3, 4}, after: []int{0, 1, 2, 3, 4}, duration: 4 * time.Second,
		},
		"freeze and wake": {
			fault:   func(_ *network, vms []*vm) { vms[3].freeze() },
			end:     func(_ *network, vms []*vm) { vms[3].wake() },
			without: []int{3}, skip: []int{3}, duration: 20 * time.Second, recovery: 4 * time.Second,
		},
		"leaving": {
			fault:   func(_ *network, vms []*vm) { vms[3].Leave() },
			without: []int{3}, after: []int{3}, duration: 2 * time.Second,
		},
		"leaving, then frozen and woken": {
			fault:   func(_ *network, vms []*vm) { vms[3].Leave(); time.Sleep(time.Second); vms[3].freeze() },
			end:     func(_ *network, vms []*vm) { vms[3].wake() },
			without: []int{3}, after: []int{3}, duration: 10 * time.Second, recovery: 10 * time.Second,
		},
		"restart with a new incarnation": {
			fault: func(n *network, vms []*vm) {
				vms[3].kill()
				vms[3] = n.add(3)
				vms[3].List(n.list)
			},
			duration: 4 * time.Second,
		},
		"one-way loss": {
			fault: func(n *network, _ []*vm) {
				n.set(0, func(from, to string) bool { return from == "e003" && to == "e004" })
			},
			end:      func(n *network, _ []*vm) { n.set(0, nil) },
			duration: 20 * time.Second, recovery: time.Second,
		},
		"VM list with dead VMs": {
			fault: func(n *network, vms []*vm) {
				vms[3].kill()
				time.Sleep(4 * time.Second)
				for _, v := range vms {
					v.List(append(n.list, member.Listed{Name: "gone", PeerAddress: "127.1.0.1:7000", Address: "127.1.0.1:8000", FailureDomain: "d0"}))
				}
			},
			without: []int{3}, after: []int{3}, duration: 4 * time.Second,
		},
		"loss of 20 % with a heal": {
			fault:    func(n *network, _ []*vm) { n.set(0.2, nil); time.Sleep(2 * time.Minute); n.set(0, nil) },
			duration: 6 * time.Second,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 30, func(n *network, vms []*vm) {
				Convey(name, t, func() {
					So(disagreeing(vms, names(vms)), ShouldEqual, 0)
					c.fault(n, vms)
					time.Sleep(c.duration)
					counted := slices.Clone(vms)
					for _, i := range c.skip {
						counted[i] = &vm{down: true}
					}
					So(disagreeing(counted, names(vms, c.without...)), ShouldEqual, 0)
					if c.end != nil {
						c.end(n, vms)
						time.Sleep(c.recovery)
						So(disagreeing(vms, names(vms, c.after...)), ShouldEqual, 0)
					}
				})
			})
		})
	}
}

// TestPartition guards against halves that never find each other again, and against events lost by a partition.
func TestPartition(t *testing.T) {
	inBubble(t, 30, func(n *network, vms []*vm) {
		Convey("Given a partition of a minute", t, func() {
			n.set(0, func(from, to string) bool { return (from < "e010") != (to < "e010") })
			time.Sleep(30 * time.Second)
			So(usable(vms[0]), ShouldResemble, names(vms[:10]))
			So(usable(vms[20]), ShouldResemble, names(vms[10:]))
			vms[0].Publish(drain("u1", 0))
			time.Sleep(30 * time.Second)
			n.set(0, nil)
			time.Sleep(20 * time.Second)
			So(disagreeing(vms, names(vms)), ShouldEqual, 0)
			So(knowing(vms, "u1"), ShouldEqual, len(vms))
		})
	})
}

func drain(upstream string, version uint64) *peerpb.Event {
	return &peerpb.Event{Kind: &peerpb.Event_Upstream{Upstream: &peerpb.UpstreamEvent{
		Service: "s", Upstream: upstream, State: peerpb.UpstreamEvent_STATE_DRAINING, Version: version, Observer: "e000",
	}}}
}

// knowing counts the VMs for which publishing the same state is no news, that is, which know it.
func knowing(vms []*vm, upstream string) int {
	n := 0
	for _, v := range vms {
		if s, ok := v.Upstream("s", upstream); ok && s == peerpb.UpstreamEvent_STATE_DRAINING {
			n++
		}
	}
	return n
}

// TestDrain guards against upstreams that get new work more than 2 s after one VM learned that they leave, with the
// VM list down.
func TestDrain(t *testing.T) {
	for name, loss := range map[string]float64{"no loss": 0, "loss of 20 %": 0.2} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 200, func(n *network, vms []*vm) {
				Convey("Given 200 VMs", t, func() {
					n.set(loss, nil)
					vms[17].Publish(drain("u1", 0))
					time.Sleep(2 * time.Second)
					So(knowing(vms, "u1"), ShouldEqual, 200)
				})
			})
		})
	}
}
