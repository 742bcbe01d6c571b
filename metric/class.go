package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// Class holds the metrics of one tenant and class. The labels are resolved once, so that a call needs no look-up.
type Class struct {
	answered, notRun, unknown prometheus.Observer
	waited, added             prometheus.Observer
	retries, spills           prometheus.Counter
	answers                   prometheus.Counter
	// reasons maps each known reason of NotRun or Unknown to its counter; all others count in otherReason.
	reasons     map[outcome.Reason]prometheus.Counter
	otherReason prometheus.Counter
}

// Group holds the metrics of one group.
type Group struct {
	free, waiting prometheus.Gauge
}

// notRunReasons and unknownReasons are the known values of the label "reason" and bound its cardinality.
var (
	notRunReasons = []outcome.Reason{
		outcome.BadRequest, outcome.TooLarge, outcome.KeyReused, outcome.LedgerFull, outcome.DeadlineUnreachable,
		outcome.QueueFull, outcome.NoUpstream, outcome.NoFreeSlot, outcome.Refused, outcome.Quarantined, outcome.Isolated,
		outcome.NotReady, outcome.TooDeep, outcome.Unreachable, outcome.Cancelled,
	}
	unknownReasons = []outcome.Reason{
		outcome.Timeout, outcome.ConnectionLost, outcome.Truncated, outcome.Mismatched, outcome.Unconfirmed, outcome.KeyExpired,
		outcome.HomeGone, outcome.KeyUsed, outcome.AnswerNotKept, outcome.LedgerFull,
	}
)

func (m *Metrics) newClass(key classKey) *Class {
	newCounter := func(outcomeName string, r outcome.Reason) prometheus.Counter {
		return m.outcomes.WithLabelValues(key.tenant, key.class, outcomeName, string(r))
	}
	c := &Class{
		answered:    m.calls.WithLabelValues(key.tenant, key.class, "answered"),
		notRun:      m.calls.WithLabelValues(key.tenant, key.class, "not-run"),
		unknown:     m.calls.WithLabelValues(key.tenant, key.class, "unknown"),
		waited:      m.waited.WithLabelValues(key.tenant, key.class),
		added:       m.added.WithLabelValues(key.tenant, key.class),
		retries:     m.retries.WithLabelValues(key.tenant, key.class),
		spills:      m.spills.WithLabelValues(key.tenant, key.class),
		answers:     newCounter("answered", ""),
		reasons:     make(map[outcome.Reason]prometheus.Counter),
		otherReason: newCounter(other, other),
	}
	for _, r := range notRunReasons {
		c.reasons[r] = newCounter("not-run", r)
	}
	for _, r := range unknownReasons {
		c.reasons[r] = newCounter("unknown", r)
	}
	return c
}

func (m *Metrics) newGroup(name string) *Group {
	return &Group{free: m.freeSlots.WithLabelValues(name), waiting: m.waiting.WithLabelValues(name)}
}

// deleteClass deletes the metrics of the tenant and class.
func (m *Metrics) deleteClass(key classKey) {
	match := prometheus.Labels{"tenant": key.tenant, "class": key.class}
	for _, v := range []interface {
		DeletePartialMatch(prometheus.Labels) int
	}{m.calls, m.waited, m.added, m.outcomes, m.retries, m.spills} {
		v.DeletePartialMatch(match)
	}
}

// Done records the outcome and the duration of a call.
func (c *Class) Done(out outcome.Outcome, elapsed time.Duration) {
	switch out := out.(type) {
	case outcome.Answered:
		c.answered.Observe(elapsed.Seconds())
		c.answers.Inc()
	case outcome.NotRun:
		c.notRun.Observe(elapsed.Seconds())
		c.reasonCounter(out.Reason).Inc()
	case outcome.Unknown:
		c.unknown.Observe(elapsed.Seconds())
		c.reasonCounter(out.Reason).Inc()
	}
}

func (c *Class) reasonCounter(r outcome.Reason) prometheus.Counter {
	if counter := c.reasons[r]; counter != nil {
		return counter
	}
	return c.otherReason
}

// Waited records the time that a call spent in the queue.
func (c *Class) Waited(d time.Duration) { c.waited.Observe(d.Seconds()) }

// Added records the duration of a call without the time at the upstream and in the queue.
func (c *Class) Added(d time.Duration) { c.added.Observe(d.Seconds()) }

// Retry counts a further attempt of a call.
func (c *Class) Retry() { c.retries.Inc() }

// Spill counts a call that was passed on to the home of another group.
func (c *Class) Spill() { c.spills.Inc() }

// Set sets the numbers of free slots and of waiting calls.
func (g *Group) Set(free, waiting int) {
	g.free.Set(float64(free))
	g.waiting.Set(float64(waiting))
}
