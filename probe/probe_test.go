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
	// orderly probers run all the time and have distinct ranks.
	orderly mode = iota
	// chaotic probers have random lifetimes, pauses and ranks.
	chaotic
	// greedy probers always take themselves for the owner of the present slot.
	greedy
	// frozen probers are greedy and pause for 9 s between the grant and the sending of each first probe of two.
	frozen
)

// rank returns the rank that a prober of the mode believes to have.
func (m mode) rank(seat int, r *rand.Rand) int {
	switch m {
	case chaotic:
		return r.IntN(3)
	case greedy, frozen:
		return int(float64(time.Now().UnixNano())*budget/2e9) % vms
	default:
		return seat
	}
}

// simulate runs 19 seats of probers for three minutes of virtual time and returns the times of all probes of one
// upstream, oldest first.
func simulate(t *testing.T, seed uint64, m mode) (sent []time.Time) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var seats sync.WaitGroup
		end := time.Now().Add(3 * time.Minute)
		for seat := range vms {
			r := rand.New(rand.NewPCG(seed, uint64(seat)))
			list := []probe.Target{{Service: "s", Upstream: "u", PerSecond: budget, EntryVMs: vms}}
			seats.Go(func() {
				for time.Now().Before(end) {
					life := time.Until(end)
					if m == chaotic {
						life = time.Duration(r.Int64N(int64(time.Minute)))
					}
					var pause, probes atomic.Int64
					p := probe.New(probe.Options{
						Targets: func(time.Time) []probe.Target {
							if m == chaotic && r.IntN(100) == 0 {
								time.Sleep(time.Duration(r.Int64N(int64(20 * time.Second))))
							}
							// A list that is returned again takes the short way through a round.
							if seat%2 == 0 {
								return list
							}
							return slices.Clone(list)
						},
						Fleet: func() probe.Fleet {
							if m == chaotic {
								pause.Store(r.Int64N(int64(3 * time.Second)))
							}
							return probe.Fleet{Rank: m.rank(seat, r), Known: vms}
						},
						Check: func(context.Context, probe.Target) (string, error) {
							time.Sleep(time.Duration(pause.Load()))
							if m == frozen && probes.Add(1)%2 == 1 {
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
					time.Sleep(life)
					_ = p.Stop(context.Background())
				}
			})
		}
		seats.Wait()
	})
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}

// worst returns the first pair of probes that breaks the budget in a window of at least shortest, or -1, -1.
func worst(sent []time.Time, shortest time.Duration) (int, int) {
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

// TestBudget guards against probes above the budget when VMs disagree about ranks, start, stop and pause, in every window
// of N/P seconds or longer, and in every window of a second if the ranks are distinct.
func TestBudget(t *testing.T) {
	cases := map[string]struct {
		mode     mode
		shortest time.Duration
	}{
		"chaos":          {chaotic, vms * time.Second / budget},
		"greedy":         {greedy, vms * time.Second / budget},
		"frozen":         {frozen, vms * time.Second / budget},
		"distinct ranks": {orderly, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				sent := simulate(t, seed, c.mode)
				Convey(name, t, func() {
					So(len(sent), ShouldBeGreaterThan, 20)
					i, j := worst(sent, c.shortest)
					So([]int{i, j}, ShouldResemble, []int{-1, -1})
				})
			}
		})
	}
}
