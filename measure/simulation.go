package measure

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarhitch/fulmarhitch/request"
)

// job is one request of a caller.
type job struct {
	request request.Request
	sentAt  time.Duration
	timeout time.Duration
	client  int
	// work is the service time at normal speed.
	work time.Duration
	// long is set if the work was multiplied by longWorkFactor, whether or not the request is marked long.
	long    bool
	retried bool
	ended   bool
}

// policy is a load-balancing policy.
type policy interface {
	// arrive handles a job at the time at which its caller sends it.
	arrive(j *job)
}

// simulation is the state of one simulated run.
type simulation struct {
	clock
	service   Service
	situation Situation
	servers   []*server
	policy    policy
	// jobRandom is used only to generate jobs, so that all policies get the same jobs.
	jobRandom, random *rand.Rand
	tally             *tally
	shed              int
	// localDelay is the one-way delay between VMs of a failure domain.
	localDelay time.Duration
}

func newSimulation(s Service, situation Situation, seed uint64) *simulation {
	salt := xxhash.Sum64String(s.Name + "/" + situation.Name)
	sim := &simulation{
		service:    s,
		situation:  situation,
		jobRandom:  rand.New(rand.NewPCG(seed, salt)),
		random:     rand.New(rand.NewPCG(seed, salt+1)),
		tally:      newTally(),
		localDelay: localDelay,
	}
	for i := range s.Instances {
		srv := &server{sim: sim, index: i, domain: i % s.Domains, slots: s.Slots}
		sim.servers = append(sim.servers, srv)
		if situation.Noisy {
			srv.scheduleSlowdowns()
		}
	}
	sim.servers[0].slow = situation.Slow
	sim.servers[1].failing = situation.Failing
	if situation.Cold {
		sim.servers[2].cold = coldRequests
	}
	return sim
}

// run passes the generated jobs to the policy and returns their counts and latencies.
func (sim *simulation) run(p policy) *tally {
	sim.policy = p
	sim.scheduleArrival()
	sim.clock.run(runDuration + 5*time.Second)
	return sim.tally
}

// scheduleArrival schedules the next job. Arrivals are a Poisson process at peakLoad, thinned to the offered load.
func (sim *simulation) scheduleArrival() {
	const peakLoad = 2
	longFraction := sim.situation.Stragglers + sim.situation.Long
	rate := peakLoad * sim.service.capacity() / (1 + (longWorkFactor-1)*longFraction)
	delay := time.Duration(sim.jobRandom.ExpFloat64() / rate * float64(time.Second))
	sim.after(delay, func() {
		if sim.now >= runDuration {
			return
		}
		j := sim.newJob()
		if sim.jobRandom.Float64() < sim.situation.Load(sim.now)/peakLoad {
			sim.policy.arrive(j)
		}
		sim.scheduleArrival()
	})
}

// newJob generates a job.
func (sim *simulation) newJob() *job {
	j := &job{sentAt: sim.now, client: sim.jobRandom.IntN(clients)}
	if sim.jobRandom.Float64() < sim.situation.Skew {
		j.client -= j.client % sim.service.Domains
	}
	pick, k := sim.jobRandom.Float64(), kinds[0]
	for i := 0; i < len(kinds)-1 && pick >= kinds[i].share; i++ {
		pick -= kinds[i].share
		k = kinds[i+1]
	}
	work := sim.jobRandom.ExpFloat64() * float64(meanWork)
	lengthDraw := sim.jobRandom.Float64()
	marked := lengthDraw < sim.situation.Long
	if marked {
		k = longKind
	}
	if lengthDraw < sim.situation.Long+sim.situation.Stragglers {
		work *= longWorkFactor
		j.long = true
	}
	j.work = time.Duration(work)
	j.timeout = k.timeout
	j.request = request.Request{
		Service: sim.service.Name, Weight: k.weight, Idempotent: sim.service.Idempotent, Long: marked,
		// The deadline leaves time for the response to reach the caller.
		Deadline: sim.time().Add(k.timeout - clientDelay),
	}
	return j
}

// end counts the job if it has not ended yet. ok reports whether its caller received an answer.
func (sim *simulation) end(j *job, ok bool) {
	if j.ended {
		return
	}
	j.ended = true
	if j.sentAt >= sim.situation.From {
		sim.tally.record(j, sim.now-j.sentAt, ok)
	}
}

// callerDelay returns the one-way delay between a caller and an entry VM.
func (sim *simulation) callerDelay() time.Duration {
	return clientDelay + time.Duration(sim.random.ExpFloat64()*0.05*float64(clientDelay))
}

// linkDelay returns the one-way delay between two failure domains.
func (sim *simulation) linkDelay(a, b int) time.Duration {
	if a == b {
		return sim.localDelay
	}
	d := sim.service.OneWay
	d += time.Duration(sim.random.ExpFloat64() * sim.situation.Jitter * float64(d))
	if sim.random.Float64() < sim.situation.Loss {
		d += retransmitDelay
	}
	return d
}

func (sim *simulation) domainOf(client int) int { return client % sim.service.Domains }
