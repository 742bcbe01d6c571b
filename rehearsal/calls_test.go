package rehearsal

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStoreCalls guards against calls to the store and the VM list that grow with the number of entry VMs instead of the
// number of failure domains. It isn't parallel, because its VMs would slow down other tests, which have time limits.
func TestStoreCalls(t *testing.T) {
	type cost struct{ idle, change int }
	const window, changes = 6 * time.Second, 5
	maxVMs := 64
	if raceDetector {
		// 64 idle VMs use six cores with the race detector and 1.3 cores without it.
		maxVMs = 32
	}
	var mu sync.Mutex
	costs := make(map[int]cost)
	t.Run("fleets", func(t *testing.T) {
		for _, vms := range []int{4, 16, maxVMs} {
			t.Run(fmt.Sprint(vms), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 4, vms, func(f *fleet) { f.maxEntryVMs = 70 })
				before := f.platform.Counts().Total()
				time.Sleep(window)
				c := cost{idle: f.platform.Counts().Total() - before}
				before = f.storeCalls()
				for i := range changes {
					f.so(accepted(f.submit(f.vms[i%len(f.vms)], i+1, fmt.Sprint("c", i))), ShouldBeTrue)
				}
				c.change = f.storeCalls() - before
				t.Logf("%d calls in %s idle, %d store calls for %d changes", c.idle, window, c.change, changes)
				mu.Lock()
				defer mu.Unlock()
				costs[vms] = c
			})
		}
	})
	f := &fleet{t: t}
	f.so(costs, ShouldHaveLength, 3)
	// Two VMs watch the store in each failure domain: twice as many with 16 VMs as with 4, and no more with maxVMs. The
	// bounds allow half as many again for calls that happen to fall into the window.
	f.so(costs[16].idle, ShouldBeLessThanOrEqualTo, 3*costs[4].idle)
	f.so(costs[maxVMs].idle, ShouldBeLessThanOrEqualTo, costs[16].idle*3/2)
	f.so(costs[16].change, ShouldBeLessThanOrEqualTo, 3*costs[4].change)
	f.so(costs[maxVMs].change, ShouldBeLessThanOrEqualTo, costs[16].change*3/2)
}

// storeCalls returns the total number of calls to the store.
func (f *fleet) storeCalls() int {
	n := f.platform.Counts().ByEndpoint
	return n["get"] + n["put"] + n["watch"]
}
