package measure

import (
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Result is the measurement of one policy in one situation with one seed. Latencies are in milliseconds. Jobs and Missed
// don't count the jobs sent before Situation.From; the counts of spills and of shed requests cover the whole run.
type Result struct {
	Deployment, Service, Situation, Policy    string
	Seed                                      uint64
	Jobs, Missed, Spills, SpillsRefused, Shed int
	P50, P99, P999, LongP99                   float64
	// Weight is the fraction of the offered weight that was answered in time.
	Weight float64
}

// Plan is a set of combinations to measure.
type Plan struct {
	Services   []Service
	Situations []Situation
	Policies   []string
	Seeds      []uint64
	// MaxConcurrentRuns is the maximum number of concurrent runs.
	MaxConcurrentRuns int
}

// Names of policies. The bounds are a central queue without network delays and with the smallest possible ones.
const (
	Bound        = "bound"
	BoundNetwork = "bound+network"
	Homes        = "homes"
)

// Policies returns the names of all policies.
func Policies() []string {
	return []string{Bound, BoundNetwork, Homes, "random", "round-robin", "least-requests", "two-choices"}
}

// newPolicy returns the policy with the name.
func newPolicy(name string, sim *simulation) policy {
	switch name {
	case Bound:
		return newCentralQueue(sim, 0)
	case BoundNetwork:
		return newCentralQueue(sim, 2*clientDelay)
	case Homes:
		return newHomes(sim)
	case "random":
		return newDirect(sim, chooseRandom)
	case "round-robin":
		return newDirect(sim, chooseRoundRobin)
	case "least-requests":
		return newDirect(sim, chooseLeastRequests)
	default:
		return newDirect(sim, chooseTwoChoices)
	}
}

// Run measures all combinations of the plan and returns the results in its order.
func Run(p Plan) []Result {
	results := make([]Result, 0, len(p.Services)*len(p.Situations)*len(p.Policies)*len(p.Seeds))
	var runs []func()
	for _, s := range p.Services {
		for _, situation := range p.Situations {
			for _, name := range p.Policies {
				for _, seed := range p.Seeds {
					i := len(results)
					results = append(results, Result{})
					runs = append(runs, func() { results[i] = measureOne(s, situation, name, seed) })
				}
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(max(p.MaxConcurrentRuns, 1))
	// The largest services come last in the plan; their runs take longest and start first.
	for _, run := range slices.Backward(runs) {
		g.Go(func() error { run(); return nil })
	}
	_ = g.Wait()
	return results
}

// measureOne measures one combination.
func measureOne(s Service, situation Situation, name string, seed uint64) Result {
	sim := newSimulation(s, situation, seed)
	counts := sim.run(newPolicy(name, sim))
	ms := func(q float64) float64 {
		return float64(counts.short.ValueAtQuantile(q)) * float64(time.Microsecond) / float64(time.Millisecond)
	}
	r := Result{
		Deployment: s.Deployment, Service: s.Name, Situation: situation.Name, Policy: name, Seed: seed,
		Jobs: counts.jobs, Missed: counts.missed, Spills: counts.spills, SpillsRefused: counts.spillsRefused, Shed: sim.shed,
		P50: ms(50), P99: ms(99), P999: ms(99.9),
		Weight: float64(counts.weightInTime) / float64(max(counts.weight, 1)),
	}
	if counts.long.TotalCount() > 0 {
		r.LongP99 = float64(counts.long.ValueAtQuantile(99)) / 1000
	}
	return r
}
