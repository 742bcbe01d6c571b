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

// homes is the policy of the load balancer: one home with a dispatch.Core for each failure domain.
type homes struct {
	sim   *simulation
	homes []*home
	// secondHome is a second home of the first group, or nil. It receives the requests of every second client.
	secondHome *home
}

// home is the home of one group.
type home struct {
	policy   *homes
	index    int
	core     *dispatch.Core
	dead     bool
	nextTick time.Duration
	// onLoss holds, for each job in progress at the home, the function that handles the loss of the home.
	onLoss map[*job]func()
}

// attempt is one pass of a job through a home. reply is set if the job is a spill from another home.
type attempt struct {
	home  *home
	job   *job
	reply func(reply)
}

// reply is a home's response to a spill, with its load.
type reply struct {
	class         upstream.Class
	noSlot        bool
	free, waiting int
}

func newHomes(sim *simulation) *homes {
	p := &homes{sim: sim}
	for i := range sim.service.Domains {
		p.homes = append(p.homes, p.newHome(i, 0))
	}
	if sim.situation.Kill > 0 {
		sim.after(sim.situation.Kill, p.kill)
	}
	if sim.situation.SecondHome > 0 {
		sim.after(sim.situation.SecondHome, func() { p.secondHome = p.newHome(0, 2) })
	}
	sim.after(reportInterval, p.report)
	return p
}

func (p *homes) newHome(index int, incarnation uint64) *home {
	h := &home{policy: p, index: index, onLoss: make(map[*job]func())}
	random := rand.New(rand.NewPCG(p.sim.random.Uint64(), incarnation))
	h.core = dispatch.NewCore(p.sim.service.OneWay, random, grant)
	var upstreams []declaration.Upstream
	for _, srv := range p.sim.servers {
		if srv.domain == index {
			upstreams = append(upstreams, declaration.Upstream{Name: strconv.Itoa(srv.index), Slots: srv.slots})
		}
	}
	svc := declaration.Service{QueueLength: 2000, RetryRatio: retryRatio, LongShare: longShare}
	h.core.Update(svc, upstreams, p.sim.time())
	return h
}

func (p *homes) arrive(j *job) {
	h := p.homes[p.sim.domainOf(j.client)]
	secondHomeEnd := p.sim.situation.SecondHome + secondHomeDuration
	if h.index == 0 && p.secondHome != nil && p.sim.now < secondHomeEnd && j.client/p.sim.service.Domains%2 == 1 {
		h = p.secondHome
	}
	p.sim.after(p.sim.callerDelay(), func() { p.deliver(h, j) })
}

// deliver passes a caller's request to the home whose address the caller knows. If that VM is gone, the caller's
// connection is refused and another VM of the failure domain forwards the request to the new home.
func (p *homes) deliver(h *home, j *job) {
	if !h.dead {
		h.accept(dispatch.Ticket{Request: &j.request}, j)
		return
	}
	p.sim.after(2*clientDelay+p.sim.localDelay, func() {
		p.homes[h.index].accept(dispatch.Ticket{Request: &j.request}, j)
	})
}

// accept submits the job to the core, unless the home is dead or the job has ended.
func (h *home) accept(t dispatch.Ticket, j *job) {
	sim := h.policy.sim
	if h.dead || j.ended {
		return
	}
	h.onLoss[j] = func() {
		// The caller loses its connection and may send an idempotent request again.
		if !j.request.Idempotent {
			sim.end(j, false)
			return
		}
		sim.after(clientDelay+sim.callerDelay(), func() { h.policy.deliver(h.policy.homes[h.index], j) })
	}
	h.submit(t, &attempt{home: h, job: j})
}

func (h *home) submit(t dispatch.Ticket, a *attempt) {
	h.core.Arrive(&dispatch.Waiter{Ticket: t, Value: a}, h.policy.sim.time())
	h.scheduleTick()
}

// grant executes a decision of a core and reports whether the job was still in progress.
func grant(waiter *dispatch.Waiter, g dispatch.Grant) bool {
	a := waiter.Value.(*attempt)
	if a.job.ended {
		return false
	}
	switch g := g.(type) {
	case dispatch.Assigned:
		a.run(waiter.Ticket, g)
	case dispatch.Spill:
		a.spill(waiter.Ticket, g)
	case dispatch.Refused:
		a.finish(waiter.Ticket, "", reply{class: upstream.Refused, noSlot: waiter.Ticket.NoWait}, true)
	}
	return true
}

func (a *attempt) run(t dispatch.Ticket, b dispatch.Assigned) {
	sim := a.home.policy.sim
	index, _ := strconv.Atoi(b.Upstream.Name)
	srv := sim.servers[index]
	srv.run(a.job, false, func(class upstream.Class) {
		if a.home.dead {
			if a.reply != nil {
				a.reply(reply{class: upstream.Lost})
			}
			return
		}
		load := upstream.Load{Running: srv.running, Slots: srv.slots}
		state := upstream.Ready
		if srv.cold > 0 {
			state = upstream.Cold
		}
		a.home.core.Release(b, dispatch.Result{Class: class, Load: load, State: state}, sim.time())
		a.finish(t, b.Upstream.Name, reply{class: class}, false)
		a.home.scheduleTick()
	})
}

// finish answers the caller or the home that spilled the job, or retries once. upstreamName is the upstream that the
// retry excludes, or empty; final forbids the retry.
func (a *attempt) finish(t dispatch.Ticket, upstreamName string, r reply, final bool) {
	sim := a.home.policy.sim
	if a.reply != nil {
		a.reply(r)
		return
	}
	retryable := r.class == upstream.Refused || r.class == upstream.Lost && a.job.request.Idempotent
	if retryable && !final && !a.job.retried {
		a.job.retried = true
		sim.after(0, func() { a.home.accept(dispatch.Ticket{Request: t.Request, Retry: true, Exclude: upstreamName}, a.job) })
		return
	}
	delete(a.home.onLoss, a.job)
	sim.after(sim.callerDelay(), func() { sim.end(a.job, r.class == upstream.Answered) })
}

// spill sends the job to another home, which runs it without queueing or refuses it.
func (a *attempt) spill(t dispatch.Ticket, s dispatch.Spill) {
	sim := a.home.policy.sim
	sim.tally.spills++
	index, _ := strconv.Atoi(s.Group)
	respond := func(r reply) {
		free, waiting := a.home.policy.homes[index].core.Load(sim.time())
		r.free, r.waiting = free, waiting
		sent := sim.time()
		sim.after(sim.linkDelay(index, a.home.index), func() { a.spillReturned(t, s, r, sent) })
	}
	sim.after(sim.linkDelay(a.home.index, index), func() {
		remote := a.home.policy.homes[index]
		next := dispatch.Ticket{Request: t.Request, NoWait: true, NoSpill: true}
		remote.submit(next, &attempt{home: remote, job: a.job, reply: respond})
	})
}

func (a *attempt) spillReturned(t dispatch.Ticket, s dispatch.Spill, r reply, sent time.Time) {
	sim := a.home.policy.sim
	if a.home.dead {
		return
	}
	a.home.core.EndSpill(s, r.noSlot, sim.time())
	a.home.core.Report(s.Group, r.free, r.waiting, sent, sim.time())
	if r.noSlot {
		sim.tally.spillsRefused++
		a.home.accept(dispatch.Ticket{Request: t.Request, Enqueued: t.Enqueued}, a.job)
	} else {
		a.finish(t, "", r, false)
	}
	a.home.scheduleTick()
}

// scheduleTick schedules the next call of Tick that the core needs.
func (h *home) scheduleTick() {
	next, ok := h.core.Next(h.policy.sim.time())
	at := next.Sub(epoch)
	if !ok || h.nextTick > 0 && h.nextTick <= at {
		return
	}
	sim := h.policy.sim
	at = max(at, sim.now)
	h.nextTick = at
	sim.after(at-sim.now, func() {
		if h.nextTick != at || h.dead {
			return
		}
		h.nextTick = 0
		h.core.Tick(sim.time())
		h.scheduleTick()
	})
}

// report sends the load of each home to all others, which receive it after reportDelay.
func (p *homes) report() {
	sim := p.sim
	sent := sim.time()
	for i, from := range p.homes {
		free, waiting := from.core.Load(sent)
		sim.after(reportDelay, func() {
			for k, to := range p.homes {
				if k != i {
					to.receiveReport(i, free, waiting, sent)
				}
			}
			if p.secondHome != nil && i != 0 {
				p.secondHome.receiveReport(i, free, waiting, sent)
			}
		})
	}
	if sim.now < runDuration {
		sim.after(reportInterval, p.report)
	}
}

// receiveReport passes a load report of another home to the core.
func (h *home) receiveReport(index, free, waiting int, sent time.Time) {
	h.core.Report(strconv.Itoa(index), free, waiting, sent, h.policy.sim.time())
	h.scheduleTick()
}

// kill ends the first home. Another VM replaces it, without knowledge of the jobs in progress.
func (p *homes) kill() {
	old := p.homes[0]
	old.dead = true
	p.homes[0] = p.newHome(0, 1)
	jobs := make([]*job, 0, len(old.onLoss))
	for j := range old.onLoss {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, j := range jobs {
		old.onLoss[j]()
	}
}
