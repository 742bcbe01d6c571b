package probe_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/probe"
)

const (
	vms    = 19
	budget = 5.0
)

// mode is how the probers of a simulation behave.
type mode int

const (
	// distinctRanks probers run all the time and have distinct ranks.
	distinctRanks mode = iota
	// random probers have random lifetimes, pauses and ranks.
	random
	// alwaysInSlot probers always believe that they own the current slot.
	alwaysInSlot
	// pausing probers behave like alwaysInSlot ones and pause for 9 s between the grant and the sending of every other
	// probe.
	pausing
)

// rank returns the rank that a prober of the mode believes it has.
func (m mode) rank(vm int, r *rand.Rand) int {
	switch m {
	case random:
		return r.IntN(3)
	case alwaysInSlot, pausing:
		return int(float64(time.Now().UnixNano())*budget/2e9) % vms
	default:
		return vm
	}
}

// simulate runs 19 VMs, each with one prober at a time, for three minutes of virtual time and returns the times of all
// probes of one upstream, oldest first.
func simulate(t *testing.T, seed uint64, m mode) (sent []time.Time) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var running sync.WaitGroup
		end := time.Now().Add(3 * time.Minute)
		for vm := range vms {
			r := rand.New(rand.NewPCG(seed, uint64(vm)))
			targets := []probe.Target{{Service: "s", Upstream: "u", PerSecond: budget, EntryVMs: vms}}
			running.Go(func() {
				for time.Now().Before(end) {
					lifetime := time.Until(end)
					if m == random {
						lifetime = time.Duration(r.Int64N(int64(time.Minute)))
					}
					var pause, probes atomic.Int64
					p := probe.New(probe.Options{
						Targets: func(time.Time) []probe.Target {
							if m == random && r.IntN(100) == 0 {
								time.Sleep(time.Duration(r.Int64N(int64(20 * time.Second))))
							}
							// For an unchanged slice, a round visits only the targets whose slot belongs to this VM now.
							if vm%2 == 0 {
								return targets
							}
							return slices.Clone(targets)
						},
						Fleet: func() probe.Fleet {
							if m == random {
								pause.Store(r.Int64N(int64(3 * time.Second)))
							}
							return probe.Fleet{Rank: m.rank(vm, r), Known: vms}
						},
						Check: func(context.Context, probe.Target) (string, error) {
							time.Sleep(time.Duration(pause.Load()))
							if m == pausing && probes.Add(1)%2 == 1 {
								time.Sleep(9 * time.Second)
							}
							mu.Lock()
							sent = append(sent, time.Now())
							mu.Unlock()
							return "ready", nil
						},
						Observe: func(probe.Target, string, error) {},
						Log:     logrus.New(),
					})
					_ = p.Start(context.Background())
					time.Sleep(lifetime)
					_ = p.Stop(context.Background())
				}
			})
		}
		running.Wait()
	})
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}

// firstExcess returns the indexes of the first pair of probes between which the budget is exceeded in a window of at least
// shortest, or -1, -1.
func firstExcess(sent []time.Time, shortest time.Duration) (int, int) {
	for i := range sent {
		for j := i; j < len(sent); j++ {
			w := max(sent[j].Sub(sent[i]), shortest)
			if float64(j-i+1) > budget*w.Seconds()+1e-6 && sent[j].Sub(sent[i]) < w || float64(j-i) > budget*w.Seconds()+1e-6 {
				return i, j
			}
		}
	}
	return -1, -1
}

// TestBudget guards against probes above the budget in windows of N/P seconds or longer, while VMs disagree about ranks,
// start, stop and pause, and in windows of a second or longer if the ranks are distinct.
func TestBudget(t *testing.T) {
	cases := map[string]struct {
		mode     mode
		shortest time.Duration
	}{
		"random":         {random, vms * time.Second / budget},
		"always in slot": {alwaysInSlot, vms * time.Second / budget},
		"pausing":        {pausing, vms * time.Second / budget},
		"distinct ranks": {distinctRanks, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				sent := simulate(t, seed, c.mode)
				Convey(name, t, func() {
					So(len(sent), ShouldBeGreaterThan, 20)
					i, j := firstExcess(sent, c.shortest)
					So([]int{i, j}, ShouldResemble, []int{-1, -1})
				})
			}
		})
	}
}
