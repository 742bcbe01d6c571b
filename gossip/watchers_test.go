package gossip_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/home"
)

// The seeds of the tests with random faults; a few in CI, many by hand.
var (
	first = flag.Uint64("first", 1, "first seed")
	seeds = flag.Uint64("seeds", 3, "number of seeds")
)

// watchers returns the running VMs that watch the store of their failure domain in the view of the first running VM.
func watchers(vms []*vm) []*vm {
	i := slices.IndexFunc(vms, func(v *vm) bool { return !v.down })
	live := vms[i].Live()
	var names []string
	for _, domain := range []string{"d0", "d1", "d2"} {
		names = append(names, home.Watchers(domain, live)...)
	}
	return slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return v.down || !slices.Contains(names, v.name) })
}

// TestWatchersLost guards against VMs that have ended and are still named to callers, and failure domains without a VM that watches
// the store, because those that watch end, at once or as soon as they have taken over. A death is known everywhere within 4 s;
// with the check of the role after 0.25 s and the read of the store, a change is in force within 5 s.
func TestWatchersLost(t *testing.T) {
	const agreeTime = 4 * time.Second
	faults := map[string]func(vms []*vm, rnd *rand.Rand){
		"one is killed": func(vms []*vm, _ *rand.Rand) { watchers(vms)[0].kill() },
		"all are killed": func(vms []*vm, _ *rand.Rand) {
			for _, v := range watchers(vms) {
				v.kill()
			}
		},
		"they are killed in series": func(vms []*vm, rnd *rand.Rand) {
			for range 5 {
				w := watchers(vms)
				w[rnd.IntN(len(w))].kill()
				time.Sleep(time.Duration(rnd.Float64() * float64(3*time.Second)))
			}
		},
		"they leave and end, others are killed": func(vms []*vm, rnd *rand.Rand) {
			for range 3 {
				w := watchers(vms)
				v := w[rnd.IntN(len(w))]
				v.Leave()
				time.Sleep(time.Duration(rnd.Float64() * float64(2*time.Second)))
				v.kill()
				w = watchers(vms)
				w[rnd.IntN(len(w))].kill()
			}
		},
	}
	for name, fault := range faults {
		for seed := *first; seed < *first+*seeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(seed)
					vms := fleet(n, 18)
					time.Sleep(30 * time.Second)
					fault(vms, rand.New(rand.NewPCG(seed, 2)))
					time.Sleep(agreeTime)
					var live []string
					for _, v := range vms {
						if !v.down {
							live = append(live, v.name)
						}
					}
					if disagreeing := countDisagreeing(vms, live); disagreeing > 0 {
						t.Errorf("%d of %d VMs don't know the live VMs %s after the last death", disagreeing, len(live), agreeTime)
					}
					if w := watchers(vms); len(w) != 6 {
						t.Errorf("%d VMs watch the store, want 2 of each of 3 failure domains", len(w))
					}
					for _, v := range vms {
						if !v.down {
							v.kill()
						}
					}
					time.Sleep(time.Second)
				})
			})
		}
	}
}
