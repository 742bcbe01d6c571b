package forwarder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarhitch/fulmarhitch/condition"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/forwarder"
	"github.com/fulmarhitch/fulmarhitch/notice"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/quota"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
	"github.com/fulmarhitch/fulmarhitch/ruleset"
)

// limitedUpstream is an upstream that may state a limit, which it doesn't enforce.
type limitedUpstream struct {
	limit    float64
	slots    int
	running  int
	arrivals []time.Time
}

// limitedService is a service whose upstreams state limits, in virtual time.
type limitedService struct {
	mu  sync.Mutex
	ups map[string]*limitedUpstream
}

func (s *limitedService) notice(id string) notice.Notice {
	u := s.ups[id]
	return notice.Notice{Limit: u.limit, HasLimit: u.limit > 0}
}

// limitedVM is one VM with its own view of the service.
type limitedVM struct {
	*forwarder.Forwarder
	service    *limitedService
	conditions *condition.Table
	notices    *notice.Table
}

// Poll reports the loads and limits of the upstreams without delay.
func (vm *limitedVM) Poll(ups []roster.Upstream, _ string, _ time.Duration) {
	s := vm.service
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range ups {
		vm.notices.Record(u, s.notice(u.ID), time.Now())
		up := s.ups[u.ID]
		vm.conditions.Report(u.ID, exchange.Load{Running: up.running, Slots: up.slots, Slowdown: 1}, true, time.Now())
	}
}

// DoFor runs a request; the length of its body is its service time in ms.
func (vm *limitedVM) DoFor(_, _ context.Context, r *request.Request, up declaration.Upstream, _ int) exchange.Result {
	s := vm.service
	s.mu.Lock()
	u := s.ups[up.Name]
	u.arrivals = append(u.arrivals, time.Now())
	u.running++
	s.mu.Unlock()
	time.Sleep(time.Duration(len(r.Body)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	u.running--
	return exchange.Result{Class: exchange.Answered, Outcome: outcome.Answered{Status: 200}, Notice: s.notice(up.Name)}
}

// mostWithin returns the largest number of times within the span.
func mostWithin(times []time.Time, span time.Duration) int {
	most := 0
	for i, t := range times {
		end, _ := slices.BinarySearchFunc(times, t.Add(span), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// limitSpan is the time in which an upstream with a limit may get one and a half times the limit and limitSpare requests.
const (
	limitSpan  = 4 * time.Second
	limitSpare = 5
)

// TestFleetLimit guards against an upstream that gets more requests than the limit that it stated, because each VM knows only its
// own part of them (issue 26).
func TestFleetLimit(t *testing.T) {
	tests := map[string]struct {
		vms, domains, upstreams, slots int
		// rate is the number of requests of the fleet per second, and work their service time in ms.
		rate, work int
		limited    int
		limit      float64
		// served is the least share of the requests that have to be answered.
		served float64
	}{
		"14 VMs":                        {14, 3, 15, 3, 54, 140, 11, 2.2, 0.99},
		"97 VMs":                        {97, 5, 112, 6, 414, 300, 78, 1.8, 0.99},
		"472 VMs":                       {472, 5, 613, 3, 942, 310, 430, 0.8, 0.99},
		"3,000 VMs":                     {3000, 8, 600, 3, 1200, 140, 420, 1, 0.99},
		"3,000 VMs with few upstreams":  {3000, 8, 40, 100, 2000, 100, 20, 25, 0.99},
		"14 VMs, all upstreams limited": {14, 3, 15, 3, 54, 140, 15, 2.2, 0.4},
		"14 VMs, one request a second":  {14, 3, 15, 3, 54, 140, 11, 1, 0.99},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, r := &limitedService{ups: make(map[string]*limitedUpstream)}, roster.New()
				for i := range tt.upstreams {
					id, u := fmt.Sprintf("u%04d", i), &limitedUpstream{slots: tt.slots}
					if i < tt.limited {
						u.limit = tt.limit
					}
					s.ups[id] = u
					r.Put(roster.Upstream{ID: id, Address: id, Service: "s", FailureDomain: fmt.Sprint("d", i%tt.domains), Slots: tt.slots})
				}
				work := time.Duration(tt.work) * time.Millisecond
				rule := &ruleset.Rule{Name: "r", Idempotent: true, Target: 3 * work, Timeout: time.Second, Attempts: 2}
				vms := startVMs(s, r, tt.vms, tt.domains)
				random := rand.New(rand.NewPCG(1, uint64(tt.vms)))
				const duration = 12 * time.Second
				var requests sync.WaitGroup
				var mu sync.Mutex
				answered, sent := 0, 0
				begin := time.Now()
				for time.Since(begin) < duration {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(tt.rate)))
					sent++
					vm, id := vms[random.IntN(len(vms))], fmt.Sprint("r", sent)
					requests.Go(func() {
						res := vm.Serve(t.Context(), forwarder.Job{Rule: rule, Arrived: time.Now(), Request: &request.Request{
							ID: id, Service: "s", Body: make([]byte, tt.work), Deadline: time.Now().Add(time.Second), Idempotent: true,
						}})
						if _, ok := res.Outcome.(outcome.Answered); ok {
							mu.Lock()
							defer mu.Unlock()
							answered++
						}
					})
				}
				requests.Wait()
				// Hedged attempts end after their requests.
				time.Sleep(time.Second)
				excess, used := 0, 0
				for i := range tt.limited {
					arrivals := s.ups[fmt.Sprintf("u%04d", i)].arrivals
					used += len(arrivals)
					if float64(mostWithin(arrivals, limitSpan)) > 1.5*tt.limit*limitSpan.Seconds()+limitSpare {
						excess++
					}
				}
				share := float64(answered) / float64(sent)
				t.Logf("answered %.3f of %d; upstreams with a limit used it to %.2f", share, sent, float64(used)/(tt.limit*duration.Seconds()*float64(tt.limited)))
				if excess > 0 {
					t.Errorf("%d of %d upstreams got more requests than they take", excess, tt.limited)
				}
				if share < tt.served {
					t.Errorf("%.3f of the requests were answered, want %.3f", share, tt.served)
				}
			})
		})
	}
}

// startVMs returns the VMs of a fleet that serves the upstreams of the roster.
func startVMs(s *limitedService, r *roster.Roster, n, domains int) []*limitedVM {
	vms := make([]*limitedVM, n)
	list := make([]fleet.VM, n)
	for i := range list {
		list[i] = fleet.VM{Name: fmt.Sprint("vm-", i), FailureDomain: fmt.Sprint("d", i%domains), Serving: true}
	}
	for i := range vms {
		vm := &limitedVM{service: s, conditions: condition.New(), notices: notice.New(discardLogger())}
		quotas := quota.New(list[i].Name, vm.notices)
		quotas.SetVMs(list)
		retries := forwarder.NewRetries(0.2)
		retries.SetBurst(1)
		vm.Forwarder = forwarder.New(forwarder.Config{
			VM: list[i].Name, FailureDomain: list[i].FailureDomain, Roster: r, Conditions: vm.conditions, Notices: vm.notices, Quotas: quotas,
			Transport: vm, Sampler: vm, Retries: retries, Times: forwarder.NewTimes(), Pressure: forwarder.NewPressure(),
		})
		vms[i] = vm
	}
	return vms
}
