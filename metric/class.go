package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmarhitch/fulmarhitch/outcome"
)

// Class holds the metrics of one tenant and class with the labels resolved, so that a call doesn't look them up.
type Class struct {
	answered, notRun, unknown prometheus.Observer
	waited, added             prometheus.Observer
	retries, spills           prometheus.Counter
	answers                   prometheus.Counter
	// reasons maps an outcome.Reason of NotRun or Unknown to its counter.
	reasons map[outcome.Reason]prometheus.Counter
	others  prometheus.Counter
}

// Group holds the metrics of one group.
type Group struct {
	free, waiting prometheus.Gauge
}

// notRunReasons and unknownReasons bound the label "reason".
var (
	notRunReasons = []outcome.Reason{
		outcome.BadRequest, outcome.TooLarge, outcome.KeyReused, outcome.LedgerFull, outcome.DeadlineUnreachable,
		outcome.QueueFull, outcome.NoUpstream, outcome.NoFreeSlot, outcome.Refused, outcome.Quarantined, outcome.Isolated,
		outcome.NotReady, outcome.TooDeep, outcome.Unreachable, outcome.Cancelled,
	}
	unknownReasons = []outcome.Reason{
		outcome.Timeout, outcome.ConnectionLost, outcome.Truncated, outcome.Mismatched, outcome.KeyExpired,
		outcome.HomeGone, outcome.KeyUsed, outcome.AnswerNotKept, outcome.LedgerFull,
	}
)

func (m *Metrics) class(l label) *Class {
	count := func(kind string, r outcome.Reason) prometheus.Counter {
		return m.outcomes.WithLabelValues(l.tenant, l.class, kind, string(r))
	}
	c := &Class{
		answered: m.calls.WithLabelValues(l.tenant, l.class, "answered"),
		notRun:   m.calls.WithLabelValues(l.tenant, l.class, "not-run"),
		unknown:  m.calls.WithLabelValues(l.tenant, l.class, "unknown"),
		waited:   m.waited.WithLabelValues(l.tenant, l.class),
		added:    m.added.WithLabelValues(l.tenant, l.class),
		retries:  m.retries.WithLabelValues(l.tenant, l.class),
		spills:   m.spills.WithLabelValues(l.tenant, l.class),
		answers:  count("answered", ""),
		reasons:  make(map[outcome.Reason]prometheus.Counter),
		others:   count(other, other),
	}
	for _, r := range notRunReasons {
		c.reasons[r] = count("not-run", r)
	}
	for _, r := range unknownReasons {
		c.reasons[r] = count("unknown", r)
	}
	return c
}

func (m *Metrics) group(name string) *Group {
	return &Group{free: m.freeSlots.WithLabelValues(name), waiting: m.waiting.WithLabelValues(name)}
}

// forget deletes the metrics of the tenant and class.
func (m *Metrics) forget(l label) {
	match := prometheus.Labels{"tenant": l.tenant, "class": l.class}
	for _, v := range []interface {
		DeletePartialMatch(prometheus.Labels) int
	}{m.calls, m.waited, m.added, m.outcomes, m.retries, m.spills} {
		v.DeletePartialMatch(match)
	}
}

// Done records the outcome of a call and the time that it took.
func (c *Class) Done(out outcome.Outcome, took time.Duration) {
	switch out := out.(type) {
	case outcome.Answered:
		c.answered.Observe(took.Seconds())
		c.answers.Inc()
	case outcome.NotRun:
		c.notRun.Observe(took.Seconds())
		c.reason(out.Reason).Inc()
	case outcome.Unknown:
		c.unknown.Observe(took.Seconds())
		c.reason(out.Reason).Inc()
	}
}

func (c *Class) reason(r outcome.Reason) prometheus.Counter {
	if counter := c.reasons[r]; counter != nil {
		return counter
	}
	return c.others
}

// Waited records the time of a call in the queue.
func (c *Class) Waited(d time.Duration) { c.waited.Observe(d.Seconds()) }

// Added records the time of a call without the time at the upstream and in the queue.
func (c *Class) Added(d time.Duration) { c.added.Observe(d.Seconds()) }

// Retry counts a further attempt of a call.
func (c *Class) Retry() { c.retries.Inc() }

// Spill counts a call sent to the home of another group.
func (c *Class) Spill() { c.spills.Inc() }

// Set sets the group's free slots and waiting calls.
func (g *Group) Set(free, waiting int) {
	g.free.Set(float64(free))
	g.waiting.Set(float64(waiting))
}
