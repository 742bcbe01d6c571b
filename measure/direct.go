package measure

import (
	"github.com/fulmarhitch/fulmarhitch/budget"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// direct is a reference policy: each entry VM chooses an upstream for itself, and upstreams queue.
type direct struct {
	world  *world
	choose func(d *direct, vm, exclude int) int
	vms    []*view
	// reported are the loads of the upstreams as last reported.
	reported []int
}

// view is what one entry VM knows.
type view struct {
	running []int
	turn    int
	budget  *budget.Budget
}

func newDirect(w *world, choose func(d *direct, vm, exclude int) int) *direct {
	d := &direct{world: w, choose: choose, reported: make([]int, len(w.servers))}
	for i := range w.service.VMs {
		v := &view{running: make([]int, len(w.servers)), turn: i, budget: budget.New(retryRatio)}
		d.vms = append(d.vms, v)
	}
	w.after(reportEvery, d.report)
	return d
}

func (d *direct) arrive(j *job) {
	d.world.after(d.world.toClient(), func() {
		vm := j.client % len(d.vms)
		if k := d.world.situation.Kill; vm == 0 && k > 0 && d.world.now >= k {
			vm = d.world.service.Domains
			d.world.after(2*clientDelay, func() { d.send(j, vm, -1) })
			return
		}
		d.vms[vm].budget.Offer()
		d.send(j, vm, -1)
	})
}

func (d *direct) send(j *job, vm, exclude int) {
	w := d.world
	i := d.choose(d, vm, exclude)
	v := w.servers[i]
	domain := vm % w.service.Domains
	began := w.now
	d.vms[vm].running[i]++
	w.after(w.between(domain, v.domain), func() {
		v.run(j, true, func(c upstream.Class) {
			w.after(w.between(v.domain, domain), func() {
				d.vms[vm].running[i]--
				k := w.situation.Kill
				if vm == 0 && began < k && w.now >= k {
					d.lost(j)
					return
				}
				d.finish(j, vm, i, c)
			})
		})
	})
}

// lost handles a job whose entry VM was killed.
func (d *direct) lost(j *job) {
	if !j.request.Idempotent {
		d.world.end(j, false)
		return
	}
	d.world.after(clientDelay, func() { d.arrive(j) })
}

func (d *direct) finish(j *job, vm, i int, c upstream.Class) {
	if c == upstream.Refused && !j.retried && d.vms[vm].budget.Take() {
		j.retried = true
		d.send(j, vm, i)
		return
	}
	d.world.after(d.world.toClient(), func() { d.world.end(j, c == upstream.Answered) })
}

// report passes the upstreams' loads on, late.
func (d *direct) report() {
	loads := make([]int, len(d.world.servers))
	for i, v := range d.world.servers {
		loads[i] = v.running + len(v.waiting)
	}
	d.world.after(staleness, func() { d.reported = loads })
	if d.world.now < length {
		d.world.after(reportEvery, d.report)
	}
}

func randomly(d *direct, _, exclude int) int {
	for {
		if i := d.world.random.IntN(len(d.world.servers)); i != exclude {
			return i
		}
	}
}

func inTurn(d *direct, vm, exclude int) int {
	v := d.vms[vm]
	for {
		v.turn = (v.turn + 1) % len(d.world.servers)
		if v.turn != exclude {
			return v.turn
		}
	}
}

func leastRequests(d *direct, vm, exclude int) int {
	best := randomly(d, vm, exclude)
	for i, n := range d.vms[vm].running {
		if i != exclude && n < d.vms[vm].running[best] {
			best = i
		}
	}
	return best
}

func twoChoices(d *direct, vm, exclude int) int {
	a, b := randomly(d, vm, exclude), randomly(d, vm, exclude)
	load := func(i int) int { return d.reported[i] + d.vms[vm].running[i] }
	if load(b) < load(a) {
		return b
	}
	return a
}
