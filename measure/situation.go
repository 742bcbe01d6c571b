package measure

import "time"

// Situation holds the load and the faults of a run.
type Situation struct {
	Name string
	// Load returns the offered load at a time as a fraction of the healthy capacity.
	Load func(at time.Duration) float64
	// Skew is the probability that a request is reassigned to a client of the first failure domain.
	Skew float64
	// Slow is the factor by which the first upstream is slowed down, or 0.
	Slow float64
	// Failing makes the second upstream refuse all requests immediately.
	Failing bool
	// Cold makes the third upstream cold from the start.
	Cold bool
	// Noisy makes each upstream 4 times slower for 20 to 200 ms, with pauses of 600 ms on average.
	Noisy bool
	// Loss is the fraction of messages between failure domains that need a retransmission, Jitter the mean of their
	// exponentially distributed additional delay as a fraction of the link's delay.
	Loss, Jitter float64
	// Stragglers is the fraction of requests that run 50 times longer without being marked long, Long the fraction
	// that run 50 times longer and are marked.
	Stragglers, Long float64
	// Kill is the time at which the first group's home is killed, or 0.
	Kill time.Duration
	// SecondHome is the time from which a second VM also acts as home of the first group, for secondHomeDuration, or 0.
	SecondHome time.Duration
	// From is the time from which requests are counted.
	From time.Duration
}

const (
	warmUp           = time.Second
	runDuration      = 5 * time.Second
	overloadDuration = 3 * time.Second

	secondHomeDuration = 2 * time.Second
)

func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// Situations returns all situations in the order of the output.
func Situations() []Situation {
	base := Situation{Load: constantLoad(0.7), Loss: 0.001, Jitter: 0.1, From: warmUp}
	situation := func(name string, change func(*Situation)) Situation {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Situation{
		situation("steady", func(*Situation) {}),
		situation("slow+failing", func(s *Situation) { s.Slow, s.Failing = 10, true }),
		situation("crest", func(s *Situation) {
			s.Load = func(at time.Duration) float64 {
				if at >= warmUp && at < warmUp+overloadDuration {
					return 2
				}
				return 0.7
			}
		}),
		situation("stragglers", func(s *Situation) { s.Stragglers = 0.02 }),
		situation("long", func(s *Situation) { s.Long = 0.02 }),
		situation("lossy", func(s *Situation) { s.Loss, s.Jitter = 0.02, 0.5 }),
		situation("swing", func(s *Situation) {
			s.Skew = 0.3
			s.Load = func(at time.Duration) float64 {
				return [...]float64{0.3, 1, 0.5, 1.1, 0.2, 0.8}[int(at/(400*time.Millisecond))%6]
			}
		}),
		situation("noisy", func(s *Situation) { s.Noisy = true; s.Load = constantLoad(0.5) }),
		situation("cold", func(s *Situation) { s.Cold = true }),
		situation("vm-loss", func(s *Situation) { s.Kill = 2 * time.Second }),
		situation("two-homes", func(s *Situation) { s.SecondHome = 2 * time.Second }),
		situation("combined", func(s *Situation) {
			s.Slow, s.Failing, s.Noisy, s.Loss, s.Jitter = 10, true, true, 0.02, 0.5
			s.Stragglers, s.Load, s.Kill = 0.01, constantLoad(0.4), 2*time.Second
		}),
	}
}
