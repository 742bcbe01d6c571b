package measure

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/dispatch"
	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// homes is the policy of the system: one dispatch.Core for each failure domain.
type homes struct {
	world *world
	homes []*home
	// twin is a second home of the first group, or nil. It takes every second client's requests.
	twin *home
}

// home is the home of one group.
type home struct {
	policy *homes
	index  int
	core   *dispatch.Core
	dead   bool
	tick   time.Duration
	// open are the jobs that the home knows.
	open map[*job]func()
}

// attempt is a ticket at a home. reply is set for a spill from another home.
type attempt struct {
	home  *home
	job   *job
	reply func(reply)
}

// reply is the answer to a spill.
type reply struct {
	class         upstream.Class
	noSlot        bool
	free, waiting int
}

func newHomes(w *world) *homes {
	p := &homes{world: w}
	for i := range w.service.Domains {
		p.homes = append(p.homes, p.build(i, 0))
	}
	if w.situation.Kill > 0 {
		w.after(w.situation.Kill, p.kill)
	}
	if w.situation.Twin > 0 {
		w.after(w.situation.Twin, func() { p.twin = p.build(0, 2) })
	}
	w.after(reportEvery, p.report)
	return p
}

func (p *homes) build(index int, incarnation uint64) *home {
	h := &home{policy: p, index: index, open: make(map[*job]func())}
	random := rand.New(rand.NewPCG(p.world.random.Uint64(), incarnation))
	h.core = dispatch.NewCore(p.world.service.OneWay, random, grant)
	var ups []declaration.Upstream
	for _, v := range p.world.servers {
		if v.domain == index {
			ups = append(ups, declaration.Upstream{Name: strconv.Itoa(v.index), Slots: v.slots})
		}
	}
	svc := declaration.Service{QueueLength: 2000, RetryRatio: retryRatio, LongShare: longShare}
	h.core.Update(svc, ups, p.world.time())
	return h
}

func (p *homes) arrive(j *job) {
	h := p.homes[p.world.domain(j.client)]
	end := p.world.situation.Twin + twinLength
	if h.index == 0 && p.twin != nil && p.world.now < end && j.client/p.world.service.Domains%2 == 1 {
		h = p.twin
	}
	p.world.after(p.world.toClient(), func() { p.reach(h, j) })
}

// reach delivers a caller's request to the home whose address the caller knows. If that VM is gone, the caller's
// connection is refused and another VM of the failure domain forwards the request to the new home.
func (p *homes) reach(h *home, j *job) {
	if !h.dead {
		h.enter(dispatch.Ticket{Request: &j.request}, j)
		return
	}
	p.world.after(2*clientDelay+p.world.local, func() {
		p.homes[h.index].enter(dispatch.Ticket{Request: &j.request}, j)
	})
}

// enter queues the job at its home.
func (h *home) enter(t dispatch.Ticket, j *job) {
	w := h.policy.world
	if h.dead || j.ended {
		return
	}
	h.open[j] = func() {
		// The caller sees its connection break; it may send an idempotent request again.
		if !j.request.Idempotent {
			w.end(j, false)
			return
		}
		w.after(clientDelay+w.toClient(), func() { h.policy.reach(h.policy.homes[h.index], j) })
	}
	h.ask(t, &attempt{home: h, job: j})
}

func (h *home) ask(t dispatch.Ticket, a *attempt) {
	h.core.Arrive(&dispatch.Waiter{Ticket: t, Value: a}, h.policy.world.time())
	h.poke()
}

// grant carries out a decision of a core.
func grant(wt *dispatch.Waiter, g dispatch.Grant) bool {
	a := wt.Value.(*attempt)
	if a.job.ended {
		return false
	}
	switch g := g.(type) {
	case dispatch.Bound:
		a.run(wt.Ticket, g)
	case dispatch.Spill:
		a.spill(wt.Ticket, g)
	case dispatch.Refused:
		a.finish(wt.Ticket, "", reply{class: upstream.Refused, noSlot: wt.Ticket.NoWait}, true)
	}
	return true
}

func (a *attempt) run(t dispatch.Ticket, b dispatch.Bound) {
	w := a.home.policy.world
	index, _ := strconv.Atoi(b.Upstream.Name)
	v := w.servers[index]
	v.run(a.job, false, func(c upstream.Class) {
		if a.home.dead {
			if a.reply != nil {
				a.reply(reply{class: upstream.Lost})
			}
			return
		}
		load := upstream.Load{Running: v.running, Slots: v.slots}
		state := upstream.Ready
		if v.cold > 0 {
			state = upstream.Cold
		}
		a.home.core.Release(b, dispatch.Result{Class: c, Load: load, State: state}, w.time())
		a.finish(t, b.Upstream.Name, reply{class: c}, false)
		a.home.poke()
	})
}

// finish answers the caller or the spilling home, or tries once more. final forbids another attempt.
func (a *attempt) finish(t dispatch.Ticket, name string, r reply, final bool) {
	w := a.home.policy.world
	if a.reply != nil {
		a.reply(r)
		return
	}
	again := r.class == upstream.Refused || r.class == upstream.Lost && a.job.request.Idempotent
	if again && !final && !a.job.retried {
		a.job.retried = true
		w.after(0, func() { a.home.enter(dispatch.Ticket{Request: t.Request, Retry: true, Exclude: name}, a.job) })
		return
	}
	delete(a.home.open, a.job)
	w.after(w.toClient(), func() { w.end(a.job, r.class == upstream.Answered) })
}

// spill sends the job to another home, which runs it at once or refuses it.
func (a *attempt) spill(t dispatch.Ticket, s dispatch.Spill) {
	w := a.home.policy.world
	w.tally.spills++
	index, _ := strconv.Atoi(s.Group)
	back := func(r reply) {
		free, waiting := a.home.policy.homes[index].core.Load(w.time())
		r.free, r.waiting = free, waiting
		sent := w.time()
		w.after(w.between(index, a.home.index), func() { a.returned(t, s, r, sent) })
	}
	w.after(w.between(a.home.index, index), func() {
		remote := a.home.policy.homes[index]
		next := dispatch.Ticket{Request: t.Request, NoWait: true, NoSpill: true}
		remote.ask(next, &attempt{home: remote, job: a.job, reply: back})
	})
}

func (a *attempt) returned(t dispatch.Ticket, s dispatch.Spill, r reply, sent time.Time) {
	w := a.home.policy.world
	if a.home.dead {
		return
	}
	a.home.core.Return(s, r.noSlot, w.time())
	a.home.core.Report(s.Group, r.free, r.waiting, sent, w.time())
	if r.noSlot {
		w.tally.refused++
		a.home.enter(dispatch.Ticket{Request: t.Request, Enqueued: t.Enqueued}, a.job)
	} else {
		a.finish(t, "", r, false)
	}
	a.home.poke()
}

// poke schedules the tick that the core needs next.
func (h *home) poke() {
	next, ok := h.core.Next(h.policy.world.time())
	at := next.Sub(epoch)
	if !ok || h.tick > 0 && h.tick <= at {
		return
	}
	w := h.policy.world
	at = max(at, w.now)
	h.tick = at
	w.after(at-w.now, func() {
		if h.tick != at || h.dead {
			return
		}
		h.tick = 0
		h.core.Tick(w.time())
		h.poke()
	})
}

// report tells all homes each other's load, late.
func (p *homes) report() {
	w := p.world
	made := w.time()
	for i, from := range p.homes {
		free, waiting := from.core.Load(made)
		w.after(staleness, func() {
			for k, to := range p.homes {
				if k != i {
					to.hear(i, free, waiting, made)
				}
			}
			if p.twin != nil && i != 0 {
				p.twin.hear(i, free, waiting, made)
			}
		})
	}
	if w.now < length {
		w.after(reportEvery, p.report)
	}
}

// hear passes a report of another home to the core.
func (h *home) hear(index, free, waiting int, made time.Time) {
	h.core.Report(strconv.Itoa(index), free, waiting, made, h.policy.world.time())
	h.poke()
}

// kill ends the first home. Another VM takes its place, which does not know the running jobs.
func (p *homes) kill() {
	old := p.homes[0]
	old.dead = true
	p.homes[0] = p.build(0, 1)
	jobs := make([]*job, 0, len(old.open))
	for j := range old.open {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.born, b.born) })
	for _, j := range jobs {
		old.open[j]()
	}
}
