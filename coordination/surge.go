package coordination

import (
	"math"

	"github.com/fulmarhitch/fulmarhitch/usage"
)

const (
	// freshSlots is the number of the latest slots of a report in which requests count as fresh, and freshTime their usual length in
	// slots, as the last one has just begun or is about to end.
	freshSlots = 2
	freshTime  = 1.5
	// minReports is the number of reports without which nothing is concluded. A report that is sent early because of a few requests
	// in a row says little.
	minReports = 3
	// surgeFactor and surgeDeviations tell a surge: more fresh requests than the factor times the expected ones, that many standard
	// deviations, and an excess.
	surgeFactor     = 1.8
	surgeDeviations = 2.5
	// relayExcess is what is added to the excess at relays for each relay of the fleet. The more there are, the fewer requests each
	// sees of an organisation.
	relayExcess = 0.1
	// maxFactor and maxExcess bound the requests that count in one report: the factor times the expected ones, and that many more. A few
	// callers that send several requests in a row, which makes their VM report early, are no surge.
	maxFactor = 4
	maxExcess = 2
	// recentSlots is the number of slots that are not part of the usual rate.
	recentSlots = 6
)

// surge detects organisations whose demand has risen suddenly, from the reports of VMs in the last two slots. Sums show a rise later,
// as most VMs have not yet stated it.
type surge struct {
	index     int64
	now, last tally
}

// tally counts reports of VMs and the fresh requests in them.
type tally struct {
	reports int
	fresh   map[uint64]int
}

func newTally() tally {
	return tally{fresh: make(map[uint64]int)}
}

// fresh returns the number of fresh requests in an entry.
func fresh(e usage.Entry) (n int) {
	for _, c := range e.Cells {
		if c.Age < freshSlots {
			n += int(c.Offered)
		}
	}
	return n
}

// at returns the tally of the slot with the index, which is the present one.
func (s *surge) at(index int64) *tally {
	if index != s.index || s.now.fresh == nil {
		s.last = s.now
		if index != s.index+1 {
			s.last = tally{}
		}
		s.index, s.now = index, newTally()
	}
	return &s.now
}

// surgeExcess returns the excess of fresh requests that tells a surge. It grows with the number of organisations, so that few of them
// show one by chance.
func surgeExcess(organisations int) float64 {
	return max(0.65*math.Log(float64(organisations)+1)-1, 1)
}

// expected returns the number of fresh requests that are expected in the report of one of the VMs. The counts are the sums of all VMs.
func expected(counts *[usage.Kept]usage.Count, vms int) float64 {
	sum := 0
	for _, c := range counts[recentSlots:usage.Slots] {
		sum += int(c.Offered)
	}
	return float64(sum) / (usage.Slots - recentSlots) * freshTime / float64(max(vms, 1))
}

// bounded returns the number of the fresh requests in a report that count.
func bounded(fresh int, expected float64) int {
	return min(fresh, maxExcess+int(math.Ceil(maxFactor*expected)))
}

// has reports whether the demand of the organisation has risen above the rate. One report is expected to have so many fresh requests,
// there are so many VMs, and slot is the length of a slot in seconds.
func (s *surge) has(id uint64, rate, expected, excess float64, vms int, slot float64) bool {
	reports, fresh := float64(s.now.reports+s.last.reports), float64(s.now.fresh[id]+s.last.fresh[id])
	if reports < minReports || vms == 0 {
		return false
	}
	usual := expected * reports
	if fresh <= surgeFactor*usual+surgeDeviations*math.Sqrt(usual)+excess {
		return false
	}
	return fresh/(reports*freshTime*slot)*float64(vms) > rate
}
