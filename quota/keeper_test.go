package quota_test

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/notice"
	"github.com/fulmarhitch/fulmarhitch/quota"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

var up = roster.Upstream{ID: "u", Service: "s", FailureDomain: "d0", StartedMS: 1}

// vm is one VM with its own notices and quotas.
type vm struct {
	notices *notice.Table
	keeper  *quota.Keeper
}

func newVM(name string) *vm {
	l := logrus.New()
	l.SetOutput(io.Discard)
	n := notice.New(logrus.NewEntry(l))
	return &vm{notices: n, keeper: quota.New(name, n)}
}

// vms returns the VMs from first to last, of which each third is in the failure domain of the upstream.
func vms(first, last int) []fleet.VM {
	var list []fleet.VM
	for i := first; i < last; i++ {
		list = append(list, fleet.VM{Name: fmt.Sprint("vm-", i), FailureDomain: fmt.Sprint("d", i%3), Serving: true})
	}
	return list
}

const (
	limitSpan  = 4 * time.Second
	limitSpare = 5
	step       = 25 * time.Millisecond
)

// mostWithin returns the largest number of the sorted times within limitSpan.
func mostWithin(times []time.Duration) int {
	most := 0
	for i, t := range times {
		end, _ := slices.BinarySearch(times, t+limitSpan)
		most = max(most, end-i)
	}
	return most
}

// TestFleetChange guards against VMs that exceed the limit of an upstream together while they disagree about the fleet: a part of
// it joins, leaves or starts anew, and each VM learns that up to 2 s later. All VMs have requests waiting all the time.
func TestFleetChange(t *testing.T) {
	half := func(n int) []fleet.VM { return vms(0, n/2) }
	tests := map[string]func(n int) (before, after []fleet.VM){
		"nothing changes": func(n int) (before, after []fleet.VM) { return vms(0, n), vms(0, n) },
		"one VM leaves":   func(n int) (before, after []fleet.VM) { return vms(0, n), vms(1, n) },
		"one VM joins":    func(n int) (before, after []fleet.VM) { return vms(1, n), vms(0, n) },
		"half leave":      func(n int) (before, after []fleet.VM) { return vms(0, n), half(n) },
		"half join":       func(n int) (before, after []fleet.VM) { return half(n), vms(0, n) },
		"all start":       func(n int) (before, after []fleet.VM) { return nil, vms(0, n) },
	}
	for name, change := range tests {
		for n, limits := range map[int][]float64{14: {0.2, 1, 2.2, 10, 70}, 472: {0.2, 1, 2.2, 70}, 3000: {1, 70}} {
			for _, limit := range limits {
				Convey(fmt.Sprintf("Given %d VMs, a limit of %v and that %s", n, limit, name), t, func() {
					before, after := change(n)
					random := rand.New(rand.NewPCG(uint64(n), math.Float64bits(limit)))
					all, learns := make([]*vm, n), make([]time.Duration, n)
					start := time.Unix(100, 0)
					for i := range all {
						all[i] = newVM(fmt.Sprint("vm-", i))
						all[i].keeper.SetVMs(before)
						all[i].notices.Record(up, notice.Notice{Limit: limit, HasLimit: true}, start)
						learns[i] = 5*time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
					}
					var sent []time.Duration
					for at := time.Duration(0); at < 12*time.Second; at += step {
						for i, v := range all {
							if i%3 != 0 && n > 14 {
								continue // Not in the failure domain, which the small fleet checks.
							}
							if learns[i] > 0 && at >= learns[i] {
								v.keeper.SetVMs(after)
								learns[i] = 0
							}
							if v.keeper.Take(up, start.Add(at)) {
								sent = append(sent, at)
							}
						}
					}
					So(float64(mostWithin(sent)), ShouldBeLessThanOrEqualTo, 1.5*limit*limitSpan.Seconds()+limitSpare)
					if before != nil {
						So(len(sent), ShouldBeGreaterThanOrEqualTo, int(0.75*limit*12))
					}
				})
			}
		}
	}
}

// TestRamp guards against a load that stays away from an upstream, or returns to it at once, after its limit has ended.
func TestRamp(t *testing.T) {
	Convey("Given an upstream whose limit ends", t, func() {
		const n, limit = 14, 2.0
		start := time.Unix(100, 0)
		var all []*vm
		for i := range n {
			v := newVM(fmt.Sprint("vm-", i))
			v.keeper.SetVMs(vms(0, n))
			v.notices.Record(up, notice.Notice{Limit: limit, HasLimit: true}, start)
			v.notices.Record(up, notice.Notice{}, start.Add(time.Second))
			all = append(all, v)
		}
		perSecond := make([]int, 5)
		for at := time.Second; at < 6*time.Second; at += step {
			for _, v := range all {
				if v.keeper.Take(up, start.Add(at)) {
					perSecond[int(at.Seconds())-1]++
				}
			}
		}
		So(perSecond[0], ShouldBeBetweenOrEqual, 1, 10)
		for i := range perSecond[1:3] {
			So(perSecond[i+1], ShouldBeBetween, perSecond[i], 10*perSecond[i])
		}
		for _, v := range all {
			v.notices.Expire(func(string) bool { return true }, start.Add(7*time.Second))
			So(v.keeper.Check(up, start.Add(7*time.Second)).Requests, ShouldEqual, quota.Unlimited)
		}
	})
}

// TestCheck guards against requests to upstreams that leave or pause, and against a VM that never finds out that a limit has ended.
func TestCheck(t *testing.T) {
	limited := notice.Notice{Limit: 2, HasLimit: true}
	tests := map[string]struct {
		notice notice.Notice
		after  time.Duration
		vms    []fleet.VM
		want   quota.Permit
	}{
		"no notice":                       {notice.Notice{}, 0, vms(0, 1), quota.Permit{Requests: quota.Unlimited}},
		"leaving":                         {notice.Notice{Leaving: true}, time.Minute, vms(0, 1), quota.Permit{Wait: quota.Never}},
		"a pause":                         {notice.Notice{RetryAfter: time.Second}, 400 * time.Millisecond, vms(0, 1), quota.Permit{Wait: 600 * time.Millisecond}},
		"the end of a pause":              {notice.Notice{RetryAfter: time.Second}, time.Second, vms(0, 1), quota.Permit{Requests: quota.Unlimited}},
		"a limit and no known VM":         {limited, 0, nil, quota.Permit{Wait: quota.Never, FleetRate: 2}},
		"a limit of other VMs":            {limited, 0, vms(3, 6), quota.Permit{Wait: quota.Never, FleetRate: 2}},
		"a limit that wasn't stated late": {limited, 2 * time.Second, nil, quota.Permit{Wait: quota.Never, FleetRate: 2, PollDue: true}},
		"a limit of this VM":              {limited, 0, vms(0, 1), quota.Permit{Wait: 500 * time.Millisecond, FleetRate: 2}},
		"a limit of zero":                 {notice.Notice{HasLimit: true}, 0, vms(0, 1), quota.Permit{Wait: quota.Never}},
		"a huge limit":                    {notice.Notice{Limit: 1e300, HasLimit: true}, 0, vms(0, 1), quota.Permit{FleetRate: 1e300}},
	}
	for name, tt := range tests {
		Convey("Given "+name, t, func() {
			v, start := newVM("vm-0"), time.Unix(100, 0)
			v.keeper.SetVMs(tt.vms)
			v.notices.Record(up, tt.notice, start)
			now := start.Add(tt.after)
			So(v.keeper.Check(up, now), ShouldResemble, tt.want)
			So(v.keeper.Take(up, now), ShouldEqual, tt.want.Requests > 0)
		})
	}
}
