package gossip_test

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// messageOverhead is the number of bytes that HTTP/2, connect and the headers of TCP/IP add to one message or answer.
// TestWire measures the first two; a segment and its acknowledgement have about 80 bytes of headers.
const messageOverhead = 120

// bytesPerVM runs a settled fleet for a minute with one drain a second and a new generation every 20 s, and returns the
// number of bytes that a VM sends and receives per second.
func bytesPerVM(n *network, vms []*vm) float64 {
	n.mu.Lock()
	n.bytes, n.messages = 0, 0
	n.mu.Unlock()
	for s := range 60 {
		vms[s%len(vms)].Publish(drain(fmt.Sprint("u", s), 0))
		if s%20 == 0 {
			for _, v := range vms {
				v.SetGeneration(uint64(s + 1))
			}
		}
		time.Sleep(time.Second)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return 2 * float64(n.bytes+n.messages*messageOverhead) / 60 / float64(len(vms))
}

// TestBudget guards against control traffic of more than 10 KB per second and VM, and against traffic that grows with
// the fleet. Each VM knows 3,000 upstreams, so that a comparison that sends the whole state exceeds the limit.
func TestBudget(t *testing.T) {
	for _, size := range []int{16, 64, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				n := newNetwork(7)
				vms := fleet(n, size)
				time.Sleep(5 * time.Second)
				for i := range 3000 {
					vms[0].Publish(drain(fmt.Sprint("old", i), 1))
				}
				time.Sleep(70 * time.Second) // until pings no longer carry the old events
				Convey("The fleet stays within the budget", t, func() {
					So(countDraining(vms, "old2999"), ShouldEqual, size)
					start := cpuTime()
					bytes := bytesPerVM(n, vms)
					used := float64((cpuTime() - start).Microseconds()) / 60 / float64(size)
					t.Logf("%d VMs: %.0f bytes and %.0f us of processor time per second and VM", size, bytes, used)
					So(bytes, ShouldBeLessThan, 10_000)
				})
				for _, v := range vms {
					v.kill()
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
