package detour

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/buffer"
	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/exchange"
	"github.com/fulmarhitch/fulmarhitch/fleet"
	"github.com/fulmarhitch/fulmarhitch/header"
	"github.com/fulmarhitch/fulmarhitch/outcome"
	"github.com/fulmarhitch/fulmarhitch/request"
	"github.com/fulmarhitch/fulmarhitch/roster"
)

const (
	// maxTries is the largest number of VMs that a request is offered to.
	maxTries = 8
	// avoidTime is the time for which a VM is avoided that could not be reached or that refused.
	avoidTime = time.Second
	// maxConnections bounds the connections to another VM, each of which carries one request.
	maxConnections = 64
	// dialTimeout bounds the dial of another VM. Round trips take some 20 ms at most.
	dialTimeout = 250 * time.Millisecond
	// service names the VMs in place of a service.
	service = "vms"
)

// Result is the result of a passed request.
type Result struct {
	exchange.Result
	// VM is the name of the last VM that the request was offered to, or empty.
	VM string
	// Upstream is the upstream that answered, without its service and address.
	Upstream roster.Upstream
}

// Config holds the dependencies of a detour.
type Config struct {
	// VM and FailureDomain are the name of this VM and its failure domain.
	VM, FailureDomain string
	// Address is the address of this VM in the list, from whose IP address other VMs accept requests of organisations. It may be empty.
	Address string
	// VMs returns the VMs of the fleet.
	VMs func() []fleet.VM
	// Dialect is the dialect of the upstreams, and Bodies the budget for the bodies of answers.
	Dialect exchange.Dialect
	Bodies  *buffer.Budget
	Log     *logrus.Entry
}

// Detour passes requests to other VMs. It is safe for concurrent use.
type Detour struct {
	config    Config
	exchanger *exchange.Exchanger

	mu sync.Mutex
	// list holds the VMs of the fleet. near holds those that requests are passed to, and far all that reach upstreams.
	list, near, far []fleet.VM
	// inProgress counts the requests that were passed to each VM, and avoided holds the times until which VMs are avoided.
	inProgress map[string]int
	avoided    map[string]time.Time
}

// New returns a detour.
func New(c Config) *Detour {
	e := exchange.NewWithDialect(func(string) int { return maxConnections }, dialect(c.Dialect), c.Bodies)
	e.SetDialTimeout(dialTimeout)
	if own, err := netip.ParseAddrPort(c.Address); err == nil && !own.Addr().IsUnspecified() {
		e.SetSource(own.Addr())
	}
	return &Detour{config: c, exchanger: e, inProgress: make(map[string]int), avoided: make(map[string]time.Time)}
}

// Close closes the idle connections.
func (d *Detour) Close() {
	d.exchanger.Close()
}

// DoFor passes the request to other VMs that reach upstreams until one doesn't refuse it, and returns its result. A request of an
// organisation goes only to VMs that state that they serve such requests. The request goes to no VM after one that may have sent it
// to an upstream. The version is that of the rules by which the request was accepted, and caller is done once the caller has left.
func (d *Detour) DoFor(ctx, caller context.Context, r *request.Request, version uint64, maxAnswer int) Result {
	passed := *r
	passed.Service = service
	passed.Header = maps.Clone(r.Header)
	if passed.Header == nil {
		passed.Header = make(http.Header)
	}
	passed.Header[header.Caller] = []string{r.Caller}
	passed.Header[header.RulesVersion] = []string{strconv.FormatUint(version, 10)}
	res := Result{Result: exchange.Result{Class: exchange.Unsent, Outcome: outcome.NotRun{Reason: outcome.CutOff}}}
	var tried []string
	mark := ""
	if r.Organisation != "" {
		mark = header.OfOrganisation
	}
	for range maxTries {
		vm, found := d.choose(tried, r.Organisation != "", time.Now())
		if !found || ctx.Err() != nil || caller.Err() != nil {
			return res
		}
		tried = append(tried, vm.Name)
		res.VM = vm.Name
		one := d.exchanger.DoFor(ctx, caller, &passed, declaration.Upstream{Name: vm.Name + mark, Address: vm.Address}, maxAnswer)
		d.end(vm.Name)
		if !mayAskOther(one) {
			res.Result = one
			if answer, ok := one.Outcome.(outcome.Answered); ok {
				res.Upstream = takeUpstream(answer.Header)
			}
			return res
		}
		if ctx.Err() == nil && caller.Err() == nil {
			d.avoid(vm.Name, one, time.Now())
		}
	}
	return res
}

// mayAskOther reports whether another VM may be asked after the result: nothing was sent, or the VM sent the request to no upstream.
func mayAskOther(res exchange.Result) bool {
	out, isNotRun := res.Outcome.(outcome.NotRun)
	return res.Class == exchange.Unsent || isNotRun && out.Reason == outcome.CutOff
}

// choose returns the VM with fewer passed requests of two that reach upstreams and were not tried, and counts one more for it. VMs
// that are avoided are chosen only if there is no other. A request of an organisation needs a VM that serves them.
func (d *Detour) choose(tried []string, ofOrganisation bool, now time.Time) (vm fleet.VM, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateVMs()
	isUntried := func(vm fleet.VM) bool {
		return !slices.Contains(tried, vm.Name) && (vm.HasOrganisations || !ofOrganisation)
	}
	isPreferred := func(vm fleet.VM) bool { return isUntried(vm) && !now.Before(d.avoided[vm.Name]) }
	for _, option := range []struct {
		list     []fleet.VM
		isUsable func(fleet.VM) bool
	}{{d.near, isPreferred}, {d.far, isPreferred}, {d.far, isUntried}} {
		if vm, found = pick(option.list, option.isUsable); !found {
			continue
		}
		if other, _ := pick(option.list, option.isUsable); d.inProgress[other.Name] < d.inProgress[vm.Name] {
			vm = other
		}
		d.inProgress[vm.Name]++
		return vm, true
	}
	return fleet.VM{}, false
}

// updateVMs sets near and far after a change of the fleet; the caller holds mu.
func (d *Detour) updateVMs() {
	list := d.config.VMs()
	if len(list) == len(d.list) && (len(list) == 0 || &list[0] == &d.list[0]) {
		return
	}
	d.list = list
	isUnusable := func(vm fleet.VM) bool { return !vm.IsReaching() || vm.Name == d.config.VM }
	d.near = slices.DeleteFunc(fleet.Reaching(list, d.config.FailureDomain), isUnusable)
	d.far = slices.DeleteFunc(slices.Clone(list), isUnusable)
}

// pick returns a usable VM of the list at random.
func pick(list []fleet.VM, isUsable func(fleet.VM) bool) (vm fleet.VM, found bool) {
	if len(list) == 0 {
		return fleet.VM{}, false
	}
	start := rand.IntN(len(list))
	for i := range list {
		if vm := list[(start+i)%len(list)]; isUsable(vm) {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// end records the end of a passed request.
func (d *Detour) end(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inProgress[vm]--; d.inProgress[vm] == 0 {
		delete(d.inProgress, vm)
	}
}

// avoid keeps requests away from the VM for avoidTime after the result.
func (d *Detour) avoid(vm string, res exchange.Result, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.avoided[vm]) {
		return
	}
	maps.DeleteFunc(d.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	d.avoided[vm] = now.Add(avoidTime)
	detail := ""
	if out, ok := res.Outcome.(outcome.NotRun); ok {
		detail = out.Detail
	}
	d.config.Log.WithFields(logrus.Fields{"other-vm": vm, "end": string(res.Class), "detail": detail}).
		Info("VM didn't take a request that was passed on; avoiding it")
}
