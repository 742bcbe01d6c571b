package coordination

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/aggregate"
	"github.com/fulmarhitch/fulmarhitch/throttle"
	"github.com/fulmarhitch/fulmarhitch/usage"
)

const (
	// maxSilence is the time after which a relay that doesn't report counts as cut off.
	maxSilence = 1500 * time.Millisecond
	// gatherTime is the time for which a new coordinator gathers the reports of relays before it decides. They all report within a fast
	// round if there are organisations near their limits.
	gatherTime = 300 * time.Millisecond
	// decisionInterval is the shortest time between two decisions. One takes some 1 ms with 5,000 organisations.
	decisionInterval = 100 * time.Millisecond
	// belowTime is the time without refusals after which an organisation counts as below its limit again.
	belowTime = 5 * time.Second
	// evenPart is the part of a limit that is divided evenly among the relays while some are cut off; the rest is divided by demand.
	evenPart = 0.25
	// partMargin is the factor by which parts are reduced while they are in use. Relays are told theirs at different times, so that their
	// sum is up to a tenth more than the whole.
	partMargin = 0.92
	// settledSlots is the age in slots from which the counts of all relays are complete.
	settledSlots = 5
)

// coordinator sums up the reports of relays and decides the shares. It isn't safe for concurrent use.
type coordinator struct {
	config     Config
	relays     *aggregate.Table
	controller *throttle.Controller
	// since is the time from which relays have been reporting, and last that of the last report.
	since, last time.Time
	decided     time.Time
	shares      []Share
	// mustPush reports whether the relays are to be told the shares at once; values holds those that they were told last.
	mustPush bool
	values   map[uint64]float64
	// watched holds the times until which organisations are watched after a sudden rise.
	watched map[uint64]time.Time
	surge   surge
	// vms holds the numbers of VMs that report to the relays.
	vms map[uint64]int
	// returned holds the times at which failure domains came back that had been cut off. Before that, they had their own parts.
	returned map[string]time.Time
	// limited holds the organisations that have reached their limits, with the times of the last decision to refuse requests.
	limited map[uint64]time.Time
}

func newCoordinator(c Config, now time.Time) *coordinator {
	return &coordinator{
		config: c, relays: aggregate.New(c.Throttle.Window, now), controller: throttle.New(c.Throttle),
		returned: make(map[string]time.Time), limited: make(map[uint64]time.Time), vms: make(map[uint64]int), watched: make(map[uint64]time.Time),
	}
}

// isActive reports whether relays report to this VM.
func (c *coordinator) isActive(now time.Time) bool {
	return !c.last.IsZero() && now.Sub(c.last) <= maxSilence
}

// isGathering reports whether relays may have just begun to report to this VM.
func (c *coordinator) isGathering(now time.Time) bool {
	return now.Sub(c.since) < gatherTime
}

// handle answers the report of a relay.
func (c *coordinator) handle(r Request, now time.Time) Answer {
	if !c.isActive(now) {
		c.since, c.decided, c.shares, c.values = now, time.Time{}, nil, nil
	}
	c.last = now
	if !r.Whole {
		r.FailureDomain = c.relays.FailureDomain(r.Reporter)
	}
	if !c.isGathering(now) && !c.relays.Domains(now.Add(-maxSilence))[r.FailureDomain] {
		c.returned[r.FailureDomain] = now
	}
	if back, ok := c.returned[r.FailureDomain]; ok {
		c.cutHistory(r.Entries, back, now)
	}
	if !c.relays.Record(r.Report, now) {
		return Answer{IsUnknown: true}
	}
	c.watch(r, now)
	if c.isGathering(now) || !c.config.IsSettled() {
		return Answer{}
	}
	if now.Sub(c.decided) >= decisionInterval {
		c.decide(now)
	}
	return Answer{
		IsDecided: true, Parts: c.parts(r, now),
		Shares: selectShares(c.shares, func(id uint64) bool { return c.relays.Has(r.Reporter, id) }),
	}
}

// watch records the organisations whose demand seems to have risen suddenly.
func (c *coordinator) watch(r Request, now time.Time) {
	index, _ := c.relays.Total().Index(now)
	tally := c.surge.at(index)
	tally.reports += r.Reports
	c.vms[r.Reporter] = r.VMs
	vms := 0
	for _, n := range c.vms {
		vms += n
	}
	limits := c.config.Limits()
	for _, e := range r.Entries {
		tally.fresh[e.ID] += e.Fresh
		l, ok := limits[e.ID]
		if !ok || now.Before(c.watched[e.ID]) {
			continue
		}
		counts := c.relays.Total().Counts(e.ID, index)
		if c.surge.has(e.ID, c.config.surgeRate(l), expected(&counts, vms), surgeExcess(len(limits)), vms, c.config.slot()) {
			c.setWatched(e.ID, now)
		}
	}
}

// setWatched makes the organisation watched from the next decision on, which is due at once.
func (c *coordinator) setWatched(id uint64, now time.Time) {
	c.watched[id] = now.Add(watchTime)
	c.mustPush, c.decided = true, time.Time{}
}

// cutHistory removes counts from before the return of a failure domain.
func (c *coordinator) cutHistory(entries []usage.Entry, back, now time.Time) {
	age := now.Sub(back)
	if age > c.config.Throttle.Window {
		return
	}
	maxAge := int(age / (c.config.Throttle.Window / usage.Slots))
	for i, e := range entries {
		entries[i].Cells = slices.DeleteFunc(e.Cells, func(cell usage.Cell) bool { return cell.Age > maxAge })
	}
}

// parts returns the relay's parts of the demand of the organisations in its report. While some relays are cut off, all keep the parts
// that they were told before.
func (c *coordinator) parts(r Request, now time.Time) []Part {
	if coversAll, _ := c.covers(now); !coversAll {
		return nil
	}
	index, _ := c.relays.Total().Index(now)
	even := evenPart / float64(max(c.relays.Reporters(now.Add(-maxSilence)), 1))
	parts := make([]Part, 0, len(r.Entries))
	for _, e := range r.Entries {
		// The latest counts of the other relays are missing.
		if total := c.offered(e.ID, index, settledSlots); total > 0 {
			own := float64(c.relays.Offered(r.Reporter, e.ID, index, settledSlots))
			parts = append(parts, Part{e.ID, min((1-evenPart)*own/float64(total)+even, 1)})
		}
	}
	return parts
}

// offered returns the number of requests of the organisation in the slots of the window from an age on.
func (c *coordinator) offered(id uint64, index int64, age int) (n int) {
	counts := c.relays.Total().Counts(id, index)
	for _, count := range counts[age:usage.Slots] {
		n += int(count.Offered)
	}
	return n
}

// covers reports whether the reports cover the fleet: those of all failure domains that have relays, and of more than half of the
// relays, so that no two coordinators cover it.
func (c *coordinator) covers(now time.Time) (coversAll bool, relays int) {
	since, list := now.Add(-maxSilence), c.config.Relays()
	domains := c.relays.Domains(since)
	for _, vm := range list {
		if !domains[vm.FailureDomain] {
			return false, len(list)
		}
	}
	return 2*c.relays.Reporters(since) > len(list), len(list)
}

// decide sets the shares.
func (c *coordinator) decide(now time.Time) {
	c.decided = now
	c.relays.DropReplaced(now.Add(-maxSilence))
	index, passed := c.relays.Total().Index(now)
	limits := c.config.Limits()
	coversAll, relays := c.covers(now)
	type demand struct {
		share   Share
		offered int
	}
	var near []demand
	isDecided := make(map[uint64]bool)
	for id := range c.relays.Total().IDs {
		l, ok := limits[id]
		if !ok {
			continue
		}
		l.Part = 1
		if !coversAll {
			l.Part = partMargin * c.relays.Parts(id, now.Add(-maxSilence), 1/float64(max(relays, 1)))
		}
		offered := c.offered(id, index, 0)
		isWatched := now.Before(c.watched[id])
		if c.controller.IsFree(l.Limit, offered) {
			if isWatched {
				near = append(near, demand{Share{id, 1}, offered})
			}
			continue
		}
		isDecided[id] = true
		counts := c.relays.Total().Counts(id, index)
		d := c.controller.Decide(id, l.Limit, &counts, index, passed)
		if d.IsNear || isWatched {
			near = append(near, demand{Share{id, d.Share}, offered})
		}
		c.note(id, l, d, now)
	}
	c.controller.Retain(func(id uint64) bool { return isDecided[id] })
	slices.SortFunc(near, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.offered, a.offered), cmp.Compare(a.share.ID, b.share.ID))
	})
	c.shares = make([]Share, len(near))
	values := make(map[uint64]float64, len(near))
	for i, d := range near {
		c.shares[i] = d.share
		values[d.share.ID] = d.share.Value
	}
	c.mustPush = c.mustPush || c.config.isUrgent(c.values, values)
	c.values = values
	c.noteBelow(limits, now)
}

// note logs that the organisation has reached its limit.
func (c *coordinator) note(id uint64, l Limit, d throttle.Decision, now time.Time) {
	if d.Share == 1 {
		return
	}
	if _, isLimited := c.limited[id]; !isLimited {
		c.config.Log.WithFields(logrus.Fields{
			"organisation": l.Organisation, "rate": l.Rate, "burst": l.Burst, "part": l.Part, "share": d.Share,
		}).Info("organisation has reached its limit")
	}
	c.limited[id] = now
}

// noteBelow logs which organisations are below their limits again.
func (c *coordinator) noteBelow(limits map[uint64]Limit, now time.Time) {
	for id, last := range c.limited {
		if now.Sub(last) < belowTime {
			continue
		}
		delete(c.limited, id)
		c.config.Log.WithField("organisation", limits[id].Organisation).Info("organisation is below its limit again")
	}
}

// expire drops old state.
func (c *coordinator) expire(now time.Time) {
	c.relays.Expire(now)
	for domain, back := range c.returned {
		if now.Sub(back) > c.config.Throttle.Window {
			delete(c.returned, domain)
		}
	}
	for id := range c.vms {
		if !c.relays.Knows(id) {
			delete(c.vms, id)
		}
	}
	for id, until := range c.watched {
		if now.After(until.Add(watchTime)) {
			delete(c.watched, id)
		}
	}
}
