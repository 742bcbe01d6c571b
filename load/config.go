package load

import (
	"fmt"
	"strings"
	"time"

	"github.com/fulmarhitch/fulmarhitch/declaration"
	"github.com/fulmarhitch/fulmarhitch/finding"
)

// Limits of a run, so that a mistyped flag doesn't overload the machine for long.
const (
	MaxRate     = 100_000
	MaxDuration = 10 * time.Minute
	MaxInFlight = 20_000
)

// Config describes one run.
type Config struct {
	// Entries are the addresses of entry VMs.
	Entries []string
	// Direct is the address of an upstream that gets every second call, or every call if there are no entry VMs. It may be
	// empty.
	Direct string
	// FailureDomain and Token are passed to the caller library.
	FailureDomain, Token string
	// Mix is the mix of calls.
	Mix []Share
	// Rate is the number of arrivals per second, up to MaxRate.
	Rate float64
	// Duration is the time of arrivals, up to MaxDuration.
	Duration time.Duration
	// Seed makes the arrivals and the choice of kinds repeatable.
	Seed uint64
	// Path is sent with each call.
	Path string
	// Body is the size of the body of non-idempotent calls in bytes.
	Body int
	// InFlight is the maximum number of calls in progress; arrivals beyond it are dropped and counted. 0 means
	// MaxInFlight.
	InFlight int
}

// Share is one kind of the mix.
type Share struct {
	Service, Kind string
	Idempotent    bool
	// Weight is the kind's share of the arrivals, relative to the other weights.
	Weight float64
	// Timeout is the deadline of each call after its arrival.
	Timeout time.Duration
}

// longShare is the fraction of a service's calls that are of long kinds. The measurement of head-of-line blocking uses the
// same fraction.
const longShare = 0.02

// Mix returns a mix for the services of the operators' file. Each service is weighted by its number of slots; of its
// calls, the long kinds share 2 % equally and the other kinds share the rest equally.
func Mix(d *declaration.Declaration) []Share {
	var mix []Share
	for _, s := range d.Services {
		slots, long := 0, 0
		for _, u := range s.Upstreams {
			slots += u.Slots
		}
		for _, k := range s.Kinds {
			if k.Long {
				long++
			}
		}
		for _, k := range s.Kinds {
			weight := 1 / float64(len(s.Kinds))
			if short := len(s.Kinds) - long; long > 0 && short > 0 {
				weight = (1 - longShare) / float64(short)
				if k.Long {
					weight = longShare / float64(long)
				}
			}
			mix = append(mix, Share{s.Name, k.Name, k.Idempotent, weight * float64(slots), k.Timeout})
		}
	}
	return mix
}

// check returns an error with all findings about the configuration.
func (c *Config) check() error {
	var findings []finding.Finding
	expect := func(ok bool, place, format string, args ...any) {
		if !ok {
			findings = append(findings, finding.Finding{Place: place, Message: fmt.Sprintf(format, args...)})
		}
	}
	expect(len(c.Entries) > 0 || c.Direct != "", "entry", "an address is expected")
	expect(c.Rate > 0 && c.Rate <= MaxRate, "rate", "%v is out of range, above 0 to %d a second expected", c.Rate, MaxRate)
	expect(c.Duration > 0 && c.Duration <= MaxDuration, "duration", "%v is out of range, above 0 to %v expected", c.Duration, MaxDuration)
	expect(c.InFlight >= 0 && c.InFlight <= MaxInFlight, "in-flight", "%d is out of range, 0 to %d expected", c.InFlight, MaxInFlight)
	expect(c.Body >= 0 && c.Body <= 1<<20, "body", "%d is out of range, 0 to 1 MiB expected", c.Body)
	expect(len(c.Mix) > 0, "mix", "at least one kind is expected")
	for _, s := range c.Mix {
		place := "mix " + s.Service + "/" + s.Kind
		expect(s.Weight > 0, place, "weight %v is out of range, above 0 expected", s.Weight)
		expect(s.Timeout > 0, place, "timeout %v is out of range, above 0 expected", s.Timeout)
		expect(s.Service != "" && s.Kind != "" && !strings.Contains(s.Kind, "/"), place, "service/kind expected")
	}
	return finding.Join(findings)
}
