package measure

import (
	"time"

	"github.com/fulmarhitch/fulmarhitch/upstream"
)

// server is a fake upstream.
type server struct {
	world          *world
	index, domain  int
	slots, running int
	slow           float64
	failing, noisy bool
	// cold is the number of answers after which the upstream is warm.
	cold    int
	waiting []waiting
}

type waiting struct {
	job  *job
	done func(upstream.Class)
}

const coldAnswers = 100

// factor returns how many times longer than usual a request takes that starts now.
func (s *server) factor() float64 {
	f := 1.0
	if s.slow > 0 {
		f *= s.slow
	}
	if s.noisy {
		f *= 4
	}
	if s.cold > 0 {
		f *= 1 + 3*float64(s.cold)/coldAnswers
	}
	return f
}

// run serves the job and calls done when the response or the refusal is back at the entry VM of the upstream's domain.
// With queueing, a job waits for a slot; without, it is shed.
func (s *server) run(j *job, queueing bool, done func(upstream.Class)) {
	w := s.world
	switch {
	case s.failing:
		w.after(2*w.local, func() { done(upstream.Refused) })
	case s.running < s.slots:
		s.start(j, done)
	case queueing:
		s.waiting = append(s.waiting, waiting{j, done})
	default:
		w.shed++
		w.after(2*w.local, func() { done(upstream.Refused) })
	}
}

func (s *server) start(j *job, done func(upstream.Class)) {
	s.running++
	service := time.Duration(float64(j.work)*s.factor()) + 2*s.world.local
	class := upstream.Answered
	// Upstreams stop work at its deadline.
	if left := j.request.Deadline.Sub(s.world.time()); service > left {
		service, class = max(left, 0), upstream.Timeout
	}
	s.world.after(service, func() {
		s.running--
		if s.cold > 0 {
			s.cold--
		}
		s.next()
		done(class)
	})
}

// next starts the first waiting job whose deadline has not passed.
func (s *server) next() {
	for len(s.waiting) > 0 && s.running < s.slots {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.world.time().After(first.job.request.Deadline) {
			first.done(upstream.Timeout)
			continue
		}
		s.start(first.job, first.done)
	}
}

// disturb switches the noise of neighbours on and off.
func (s *server) disturb() {
	r := s.world.random
	s.world.after(time.Duration(r.ExpFloat64()*float64(600*time.Millisecond)), func() {
		s.noisy = true
		s.world.after(time.Duration(20+r.IntN(181))*time.Millisecond, func() {
			s.noisy = false
			s.disturb()
		})
	})
}
