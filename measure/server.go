package measure

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// server is a simulated upstream.
type server struct {
	sim            *simulation
	index, domain  int
	slots, running int
	// slow is the factor of a permanent slowdown, or 0.
	slow float64
	// failing means that the upstream refuses all requests, noisy that it is slowed down by a noisy neighbour.
	failing, noisy bool
	// cold is the number of requests left until the upstream is warm.
	cold    int
	waiting []waitingJob
}

type waitingJob struct {
	job  *job
	done func(upstream.Class)
}

// coldRequests is the number of requests that a cold upstream serves more slowly.
const coldRequests = 100

// factor returns how many times longer than normal a request takes that starts now.
func (s *server) factor() float64 {
	f := 1.0
	if s.slow > 0 {
		f *= s.slow
	}
	if s.noisy {
		f *= 4
	}
	if s.cold > 0 {
		f *= 1 + 3*float64(s.cold)/coldRequests
	}
	return f
}

// run serves the job and calls done when the response or the refusal reaches the entry VM in the upstream's failure
// domain. If no slot is free, the job waits if queueing is true and is shed otherwise.
func (s *server) run(j *job, queueing bool, done func(upstream.Class)) {
	sim := s.sim
	switch {
	case s.failing:
		sim.after(2*sim.localDelay, func() { done(upstream.Refused) })
	case s.running < s.slots:
		s.start(j, done)
	case queueing:
		s.waiting = append(s.waiting, waitingJob{j, done})
	default:
		sim.shed++
		sim.after(2*sim.localDelay, func() { done(upstream.Refused) })
	}
}

func (s *server) start(j *job, done func(upstream.Class)) {
	s.running++
	serviceTime := time.Duration(float64(j.work)*s.factor()) + 2*s.sim.localDelay
	class := upstream.Answered
	// Upstreams abort a request at its deadline.
	if left := j.request.Deadline.Sub(s.sim.time()); serviceTime > left {
		serviceTime, class = max(left, 0), upstream.Timeout
	}
	s.sim.after(serviceTime, func() {
		s.running--
		if s.cold > 0 {
			s.cold--
		}
		s.startWaiting()
		done(class)
	})
}

// startWaiting starts waiting jobs in free slots and drops those whose deadline has passed.
func (s *server) startWaiting() {
	for len(s.waiting) > 0 && s.running < s.slots {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.sim.time().After(first.job.request.Deadline) {
			first.done(upstream.Timeout)
			continue
		}
		s.start(first.job, first.done)
	}
}

// scheduleSlowdowns schedules slowdowns by a noisy neighbour: 20 to 200 ms long, after pauses of 600 ms on average.
func (s *server) scheduleSlowdowns() {
	r := s.sim.random
	s.sim.after(time.Duration(r.ExpFloat64()*float64(600*time.Millisecond)), func() {
		s.noisy = true
		s.sim.after(time.Duration(20+r.IntN(181))*time.Millisecond, func() {
			s.noisy = false
			s.scheduleSlowdowns()
		})
	})
}
