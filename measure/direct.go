package measure

import (
	"github.com/fulmarhitch/fulmarhitch/budget"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// direct is a reference policy: each entry VM chooses an upstream independently, and upstreams queue requests.
type direct struct {
	sim    *simulation
	choose func(d *direct, vm, exclude int) int
	vms    []*vmState
	// reportedLoads are the loads of the upstreams in the last report received.
	reportedLoads []int
}

// vmState is the local state of one entry VM.
type vmState struct {
	// running counts the VM's requests in progress at each upstream.
	running []int
	// lastChoice is the upstream last chosen by round robin.
	lastChoice int
	budget     *budget.Budget
}

func newDirect(sim *simulation, choose func(d *direct, vm, exclude int) int) *direct {
	d := &direct{sim: sim, choose: choose, reportedLoads: make([]int, len(sim.servers))}
	for i := range sim.service.VMs {
		state := &vmState{running: make([]int, len(sim.servers)), lastChoice: i, budget: budget.New(retryRatio)}
		d.vms = append(d.vms, state)
	}
	sim.after(reportInterval, d.report)
	return d
}

func (d *direct) arrive(j *job) {
	d.sim.after(d.sim.callerDelay(), func() {
		vm := j.client % len(d.vms)
		// The connection to the killed VM 0 is refused, and the caller tries the next VM of the same failure domain.
		if killAt := d.sim.situation.Kill; vm == 0 && killAt > 0 && d.sim.now >= killAt {
			vm = d.sim.service.Domains
			d.sim.after(2*clientDelay, func() { d.send(j, vm, -1) })
			return
		}
		d.vms[vm].budget.Earn()
		d.send(j, vm, -1)
	})
}

func (d *direct) send(j *job, vm, exclude int) {
	sim := d.sim
	i := d.choose(d, vm, exclude)
	srv := sim.servers[i]
	domain := vm % sim.service.Domains
	sentAt := sim.now
	d.vms[vm].running[i]++
	sim.after(sim.linkDelay(domain, srv.domain), func() {
		srv.run(j, true, func(class upstream.Class) {
			sim.after(sim.linkDelay(srv.domain, domain), func() {
				d.vms[vm].running[i]--
				killAt := sim.situation.Kill
				if vm == 0 && sentAt < killAt && sim.now >= killAt {
					d.vmLost(j)
					return
				}
				d.finish(j, vm, i, class)
			})
		})
	})
}

// vmLost handles a job whose entry VM was killed: an idempotent one is sent again, any other fails.
func (d *direct) vmLost(j *job) {
	if !j.request.Idempotent {
		d.sim.end(j, false)
		return
	}
	d.sim.after(clientDelay, func() { d.arrive(j) })
}

func (d *direct) finish(j *job, vm, i int, class upstream.Class) {
	if class == upstream.Refused && !j.retried && d.vms[vm].budget.Spend() {
		j.retried = true
		d.send(j, vm, i)
		return
	}
	d.sim.after(d.sim.callerDelay(), func() { d.sim.end(j, class == upstream.Answered) })
}

// report sends the upstreams' loads to the entry VMs, which receive them after reportDelay.
func (d *direct) report() {
	loads := make([]int, len(d.sim.servers))
	for i, srv := range d.sim.servers {
		loads[i] = srv.running + len(srv.waiting)
	}
	d.sim.after(reportDelay, func() { d.reportedLoads = loads })
	if d.sim.now < runDuration {
		d.sim.after(reportInterval, d.report)
	}
}

func chooseRandom(d *direct, _, exclude int) int {
	for {
		if i := d.sim.random.IntN(len(d.sim.servers)); i != exclude {
			return i
		}
	}
}

func chooseRoundRobin(d *direct, vm, exclude int) int {
	state := d.vms[vm]
	for {
		state.lastChoice = (state.lastChoice + 1) % len(d.sim.servers)
		if state.lastChoice != exclude {
			return state.lastChoice
		}
	}
}

func chooseLeastRequests(d *direct, vm, exclude int) int {
	best := chooseRandom(d, vm, exclude)
	for i, n := range d.vms[vm].running {
		if i != exclude && n < d.vms[vm].running[best] {
			best = i
		}
	}
	return best
}

func chooseTwoChoices(d *direct, vm, exclude int) int {
	a, b := chooseRandom(d, vm, exclude), chooseRandom(d, vm, exclude)
	load := func(i int) int { return d.reportedLoads[i] + d.vms[vm].running[i] }
	if load(b) < load(a) {
		return b
	}
	return a
}
