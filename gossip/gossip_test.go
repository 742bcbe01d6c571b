package gossip_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/member"
	"github.com/fulmarhitch/fulmarhitch/peerpb"
)

// usableNames returns the names of the VMs that the VM may choose as homes.
func usableNames(v *vm) []string {
	var names []string
	for _, m := range v.Live() {
		if m.Usable() {
			names = append(names, m.Name)
		}
	}
	return names
}

// countDisagreeing counts the running VMs for which the usable VMs are not want.
func countDisagreeing(vms []*vm, want []string) int {
	n := 0
	for _, v := range vms {
		if !v.down && !slices.Equal(usableNames(v), want) {
			n++
		}
	}
	return n
}

// names returns the names of the VMs except those with the given indexes.
func names(vms []*vm, without ...int) []string {
	var all []string
	for i, v := range vms {
		if !slices.Contains(without, i) {
			all = append(all, v.name)
		}
	}
	return all
}

// TestFaults guards against VMs that disagree about the usable VMs, which are the candidates for homes, after a fault. All
// running VMs must agree after the duration of the case, which is 4 s for killed VMs, and again after its recovery time,
// which is 4 s for a paused VM. The VM list is not available.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		fault, end         func(n *network, vms []*vm)
		without            []int // VMs not usable during the fault
		after              []int // VMs not usable after its end
		skip               []int // VMs whose own view is not checked during the fault
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
		"pause and resume": {
			fault:   func(_ *network, vms []*vm) { vms[3].pause() },
			end:     func(_ *network, vms []*vm) { vms[3].resume() },
			without: []int{3}, skip: []int{3}, duration: 20 * time.Second, recovery: 4 * time.Second,
		},
		"leaving": {
			fault:   func(_ *network, vms []*vm) { vms[3].Leave() },
			without: []int{3}, after: []int{3}, duration: 2 * time.Second,
		},
		"leaving, then paused and resumed": {
			fault:   func(_ *network, vms []*vm) { vms[3].Leave(); time.Sleep(time.Second); vms[3].pause() },
			end:     func(_ *network, vms []*vm) { vms[3].resume() },
			without: []int{3}, after: []int{3}, duration: 10 * time.Second, recovery: 10 * time.Second,
		},
		"restart with a new incarnation": {
			fault: func(n *network, vms []*vm) {
				vms[3].kill()
				vms[3] = n.add(3)
				vms[3].ApplyList(n.list)
			},
			duration: 4 * time.Second,
		},
		"one-way loss": {
			fault: func(n *network, _ []*vm) {
				n.setFaults(0, func(from, to string) bool { return from == "e003" && to == "e004" })
			},
			end:      func(n *network, _ []*vm) { n.setFaults(0, nil) },
			duration: 20 * time.Second, recovery: time.Second,
		},
		"VM list with dead VMs": {
			fault: func(n *network, vms []*vm) {
				vms[3].kill()
				time.Sleep(4 * time.Second)
				for _, v := range vms {
					v.ApplyList(append(n.list, member.Listed{Name: "gone", PeerAddress: "127.1.0.1:7000", Address: "127.1.0.1:8000", FailureDomain: "d0"}))
				}
			},
			without: []int{3}, after: []int{3}, duration: 4 * time.Second,
		},
		"loss of 20 % that ends": {
			fault:    func(n *network, _ []*vm) { n.setFaults(0.2, nil); time.Sleep(2 * time.Minute); n.setFaults(0, nil) },
			duration: 6 * time.Second,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 30, func(n *network, vms []*vm) {
				Convey(name, t, func() {
					So(countDisagreeing(vms, names(vms)), ShouldEqual, 0)
					c.fault(n, vms)
					time.Sleep(c.duration)
					checked := slices.Clone(vms)
					for _, i := range c.skip {
						checked[i] = &vm{down: true}
					}
					So(countDisagreeing(checked, names(vms, c.without...)), ShouldEqual, 0)
					if c.end != nil {
						c.end(n, vms)
						time.Sleep(c.recovery)
						So(countDisagreeing(vms, names(vms, c.after...)), ShouldEqual, 0)
					}
				})
			})
		})
	}
}

// TestPartition guards against parts of a fleet that do not merge after a partition, and against events that are lost in
// one.
func TestPartition(t *testing.T) {
	inBubble(t, 30, func(n *network, vms []*vm) {
		Convey("Given a partition of a minute", t, func() {
			n.setFaults(0, func(from, to string) bool { return (from < "e010") != (to < "e010") })
			time.Sleep(30 * time.Second)
			So(usableNames(vms[0]), ShouldResemble, names(vms[:10]))
			So(usableNames(vms[20]), ShouldResemble, names(vms[10:]))
			vms[0].Publish(drain("u1", 0))
			time.Sleep(30 * time.Second)
			n.setFaults(0, nil)
			time.Sleep(20 * time.Second)
			So(countDisagreeing(vms, names(vms)), ShouldEqual, 0)
			So(countDraining(vms, "u1"), ShouldEqual, len(vms))
		})
	})
}

// TestMaxLive guards against a starting VM that counts too few others at any time, even while messages are lost, and against one
// that counts listed VMs that are gone after it could have found that out.
func TestMaxLive(t *testing.T) {
	const size, gone = 20, 6
	for _, loss := range []float64{0, 0.1} {
		inBubble(t, size, func(n *network, vms []*vm) {
			Convey(fmt.Sprintf("Given a VM that starts with a list of %d VMs, %d of which are gone, and a loss of %g", size+gone, gone, loss), t, func() {
				n.setFaults(loss, nil)
				listed := slices.Clone(n.list)
				for i := range gone {
					listed = append(listed, member.Listed{Name: fmt.Sprint("gone", i), PeerAddress: fmt.Sprintf("127.1.0.%d:7000", i+1)})
				}
				v := n.add(size)
				defer v.kill()
				v.ApplyList(listed)
				least := size + gone + 1
				for range 800 {
					least = min(least, v.MaxLive())
					time.Sleep(10 * time.Millisecond)
				}
				So(least, ShouldEqual, size+1)
				So(v.MaxLive(), ShouldEqual, size+1)
			})
		})
	}
}

func drain(upstream string, version uint64) *peerpb.Event {
	return &peerpb.Event{Kind: &peerpb.Event_Upstream{Upstream: &peerpb.UpstreamEvent{
		Service: "s", Upstream: upstream, State: peerpb.UpstreamEvent_STATE_DRAINING, Version: version, Observer: "e000",
	}}}
}

// countDraining counts the VMs that know that the upstream is draining.
func countDraining(vms []*vm, upstream string) int {
	n := 0
	for _, v := range vms {
		if s, ok := v.Upstream("s", upstream); ok && s == peerpb.UpstreamEvent_STATE_DRAINING {
			n++
		}
	}
	return n
}

// TestDrain guards against upstreams that get new requests more than 2 s after one VM learned that they are draining,
// while the VM list is not available.
func TestDrain(t *testing.T) {
	for name, loss := range map[string]float64{"no loss": 0, "loss of 20 %": 0.2} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 200, func(n *network, vms []*vm) {
				Convey("Given 200 VMs", t, func() {
					n.setFaults(loss, nil)
					vms[17].Publish(drain("u1", 0))
					time.Sleep(2 * time.Second)
					So(countDraining(vms, "u1"), ShouldEqual, 200)
				})
			})
		})
	}
}
