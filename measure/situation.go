package measure

import "time"

// Situation is what happens to a service during a run.
type Situation struct {
	Name string
	// Load returns the offered load at a time as a part of the healthy capacity.
	Load func(at time.Duration) float64
	// Skew is the part of the demand of clients of the first domain beyond their share.
	Skew float64
	// Slow is the factor by which the first upstream is slow, or 0.
	Slow float64
	// Failing makes the second upstream refuse everything at once.
	Failing bool
	// Cold makes the third upstream cold from the start.
	Cold bool
	// Noisy makes each upstream 4 times slower for 20 to 200 ms about once in 600 ms.
	Noisy bool
	// Loss is the part of messages between domains that need a retransmission, Jitter the mean of their
	// exponential additional delay as a part of the delay.
	Loss, Jitter float64
	// Stragglers is the part of requests that run 50 times longer without notice, Long that of marked ones.
	Stragglers, Long float64
	// Kill is the time at which the first group's home is killed, or 0.
	Kill time.Duration
	// Twin is the time from which a second VM also acts as home of the first group, for twinLength, or 0.
	Twin time.Duration
	// From is the time from which requests are counted.
	From time.Duration
}

const (
	warmUp = time.Second
	length = 5 * time.Second
	crest  = 3 * time.Second

	twinLength = 2 * time.Second
)

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// Situations returns all situations in the order of the table.
func Situations() []Situation {
	base := Situation{Load: constant(0.7), Loss: 0.001, Jitter: 0.1, From: warmUp}
	of := func(name string, change func(*Situation)) Situation {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Situation{
		of("steady", func(*Situation) {}),
		of("slow+failing", func(s *Situation) { s.Slow, s.Failing = 10, true }),
		of("crest", func(s *Situation) {
			s.Load = func(at time.Duration) float64 {
				if at >= warmUp && at < warmUp+crest {
					return 2
				}
				return 0.7
			}
		}),
		of("stragglers", func(s *Situation) { s.Stragglers = 0.02 }),
		of("long", func(s *Situation) { s.Long = 0.02 }),
		of("lossy", func(s *Situation) { s.Loss, s.Jitter = 0.02, 0.5 }),
		of("swing", func(s *Situation) {
			s.Skew = 0.3
			s.Load = func(at time.Duration) float64 {
				return [...]float64{0.3, 1, 0.5, 1.1, 0.2, 0.8}[int(at/(400*time.Millisecond))%6]
			}
		}),
		of("noisy", func(s *Situation) { s.Noisy = true; s.Load = constant(0.5) }),
		of("cold", func(s *Situation) { s.Cold = true }),
		of("vm-loss", func(s *Situation) { s.Kill = 2 * time.Second }),
		of("two-homes", func(s *Situation) { s.Twin = 2 * time.Second }),
		of("combined", func(s *Situation) {
			s.Slow, s.Failing, s.Noisy, s.Loss, s.Jitter = 10, true, true, 0.02, 0.5
			s.Stragglers, s.Load, s.Kill = 0.01, constant(0.4), 2*time.Second
		}),
	}
}
