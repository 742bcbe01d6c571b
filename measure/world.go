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
	born    time.Duration
	timeout time.Duration
	client  int
	work    time.Duration
	long    bool
	retried bool
	ended   bool
}

// policy decides where jobs run.
type policy interface {
	// arrive takes a job at the moment at which its caller sends it.
	arrive(j *job)
}

// world is the state of one run.
type world struct {
	clock
	service   Service
	situation Situation
	servers   []*server
	policy    policy
	// demand draws the jobs and is used for nothing else, so that all policies get the same jobs.
	demand, random *rand.Rand
	tally          *tally
	shed           int
	// local is the one-way delay between VMs of a failure domain.
	local time.Duration
}

func newWorld(s Service, sit Situation, seed uint64) *world {
	salt := xxhash.Sum64String(s.Name + "/" + sit.Name)
	w := &world{
		service:   s,
		situation: sit,
		demand:    rand.New(rand.NewPCG(seed, salt)),
		random:    rand.New(rand.NewPCG(seed, salt+1)),
		tally:     newTally(),
		local:     localDelay,
	}
	for i := range s.Instances {
		v := &server{world: w, index: i, domain: i % s.Domains, slots: s.Slots}
		w.servers = append(w.servers, v)
		if sit.Noisy {
			v.disturb()
		}
	}
	w.servers[0].slow = sit.Slow
	w.servers[1].failing = sit.Failing
	if sit.Cold {
		w.servers[2].cold = coldAnswers
	}
	return w
}

// run offers the demand to the policy and returns what was counted.
func (w *world) run(p policy) *tally {
	w.policy = p
	w.next()
	w.clock.run(length + 5*time.Second)
	return w.tally
}

// next schedules the next job by thinning a Poisson process of the highest rate.
func (w *world) next() {
	const highest = 2
	long := w.situation.Stragglers + w.situation.Long
	rate := highest * w.service.capacity() / (1 + (stretch-1)*long)
	delay := time.Duration(w.demand.ExpFloat64() / rate * float64(time.Second))
	w.after(delay, func() {
		if w.now >= length {
			return
		}
		j := w.draw()
		if w.demand.Float64() < w.situation.Load(w.now)/highest {
			w.policy.arrive(j)
		}
		w.next()
	})
}

func (w *world) draw() *job {
	j := &job{born: w.now, client: w.demand.IntN(clients)}
	if w.demand.Float64() < w.situation.Skew {
		j.client -= j.client % w.service.Domains
	}
	pick, k := w.demand.Float64(), kinds[0]
	for i := 0; i < len(kinds)-1 && pick >= kinds[i].share; i++ {
		pick -= kinds[i].share
		k = kinds[i+1]
	}
	work := w.demand.ExpFloat64() * float64(meanWork)
	straggler := w.demand.Float64()
	marked := straggler < w.situation.Long
	if marked {
		k = longKind
	}
	if straggler < w.situation.Long+w.situation.Stragglers {
		work *= stretch
		j.long = true
	}
	j.work = time.Duration(work)
	j.timeout = k.timeout
	j.request = request.Request{
		Service: w.service.Name, Weight: k.weight, Idempotent: w.service.Idempotent, Long: marked,
		// The caller leaves time for its answer to travel back.
		Deadline: w.time().Add(k.timeout - clientDelay),
	}
	return j
}

// end counts the job; ok tells that its caller has an answer.
func (w *world) end(j *job, ok bool) {
	if j.ended {
		return
	}
	j.ended = true
	if j.born >= w.situation.From {
		w.tally.count(j, w.now-j.born, ok)
	}
}

// toClient returns the one-way delay between a caller and an entry VM.
func (w *world) toClient() time.Duration {
	return clientDelay + time.Duration(w.random.ExpFloat64()*0.05*float64(clientDelay))
}

// between returns the one-way delay between two failure domains.
func (w *world) between(a, b int) time.Duration {
	if a == b {
		return w.local
	}
	d := w.service.OneWay
	d += time.Duration(w.random.ExpFloat64() * w.situation.Jitter * float64(d))
	if w.random.Float64() < w.situation.Loss {
		d += retransmit
	}
	return d
}

func (w *world) domain(client int) int { return client % w.service.Domains }
