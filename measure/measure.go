package measure

import (
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Result is what one policy reached in one situation with one seed. Latencies are in milliseconds.
type Result struct {
	Deployment, Service, Situation, Policy string
	Seed                                   uint64
	Jobs, Missed, Spills, Refused, Shed    int
	P50, P99, P999, LongP99                float64
	// Weight is the part of the offered weight that was answered in time.
	Weight float64
}

// Plan says what to measure.
type Plan struct {
	Services   []Service
	Situations []Situation
	Policies   []string
	Seeds      []uint64
	// Cores bounds the runs at the same time.
	Cores int
}

// Names of the policies; the bounds are the central queue without network time and with the least network time.
const (
	Bound        = "bound"
	BoundNetwork = "bound+network"
	Homes        = "homes"
)

// Policies returns the names of all policies.
func Policies() []string {
	return []string{Bound, BoundNetwork, Homes, "random", "round-robin", "least-requests", "two-choices"}
}

func build(name string, w *world) policy {
	switch name {
	case Bound:
		return newBound(w, 0)
	case BoundNetwork:
		return newBound(w, 2*clientDelay)
	case Homes:
		return newHomes(w)
	case "random":
		return newDirect(w, randomly)
	case "round-robin":
		return newDirect(w, inTurn)
	case "least-requests":
		return newDirect(w, leastRequests)
	default:
		return newDirect(w, twoChoices)
	}
}

// Run measures all combinations of the plan and returns the results in the order of the plan.
func Run(p Plan) []Result {
	results := make([]Result, 0, len(p.Services)*len(p.Situations)*len(p.Policies)*len(p.Seeds))
	var runs []func()
	for _, s := range p.Services {
		for _, sit := range p.Situations {
			for _, name := range p.Policies {
				for _, seed := range p.Seeds {
					i := len(results)
					results = append(results, Result{})
					runs = append(runs, func() { results[i] = once(s, sit, name, seed) })
				}
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(max(p.Cores, 1))
	// The longest runs are those of the largest services, which come last in the plan.
	for _, run := range slices.Backward(runs) {
		g.Go(func() error { run(); return nil })
	}
	_ = g.Wait()
	return results
}

func once(s Service, sit Situation, name string, seed uint64) Result {
	w := newWorld(s, sit, seed)
	t := w.run(build(name, w))
	ms := func(q float64) float64 {
		return float64(t.short.ValueAtQuantile(q)) * float64(time.Microsecond) / float64(time.Millisecond)
	}
	r := Result{
		Deployment: s.Deployment, Service: s.Name, Situation: sit.Name, Policy: name, Seed: seed,
		Jobs: t.jobs, Missed: t.missed, Spills: t.spills, Refused: t.refused, Shed: w.shed,
		P50: ms(50), P99: ms(99), P999: ms(99.9),
		Weight: float64(t.weightInTime) / float64(max(t.weight, 1)),
	}
	if t.long.TotalCount() > 0 {
		r.LongP99 = float64(t.long.ValueAtQuantile(99)) / 1000
	}
	return r
}
