package gossip_test

import (
	"testing"
	"time"

	"github.com/fulmarhitch/fulmarhitch/member"
)

// TestOverload guards against live VMs that declare each other dead while their host has too little processor time, and against
// pings that multiply because earlier ones time out, so that the overload doesn't end by itself.
func TestOverload(t *testing.T) {
	// The demand is that of the idle fleet, as a multiple of the processor time that there is.
	for name, demand := range map[string]float64{"a little": 1.1, "by a third": 1.3, "twice": 2} {
		t.Run(name, func(t *testing.T) { overload(t, demand) })
	}
}

// overload runs a fleet whose demand of processor time exceeds what there is.
func overload(t *testing.T, demand float64) {
	const size, duration = 64, 20 * time.Second
	inBubble(t, size, func(n *network, vms []*vm) {
		n.mu.Lock()
		before := n.messages
		n.mu.Unlock()
		time.Sleep(duration)
		n.mu.Lock()
		idle := n.messages - before
		before += idle
		n.mu.Unlock()
		n.setCost(time.Duration(demand * float64(duration) / float64(idle)))
		// most is the largest number of VMs that some VM takes for dead.
		most := 0
		for range int(duration / (500 * time.Millisecond)) {
			time.Sleep(500 * time.Millisecond)
			for _, v := range vms {
				most = max(most, countDead(v))
			}
		}
		n.mu.Lock()
		busy := n.messages - before
		n.mu.Unlock()
		t.Logf("%d messages idle, %d under overload, %d VMs taken for dead", idle, busy, most)
		if float64(busy) > 1.1*float64(idle) {
			t.Errorf("%d messages under overload, %d without it", busy, idle)
		}
		if most > 0 {
			t.Errorf("%d live VMs taken for dead", most)
		}
		n.setCost(0)
		time.Sleep(10 * time.Second)
		for _, v := range vms {
			if live := len(v.Live()); live != size {
				t.Errorf("%s knows %d VMs after the overload", v.name, live)
			}
		}
	})
}

// countDead returns the number of VMs that the VM takes for dead.
func countDead(v *vm) int {
	n := 0
	for _, m := range v.Members() {
		if m.State == member.Dead {
			n++
		}
	}
	return n
}
