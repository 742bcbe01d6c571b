package telemetry

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/fulmarhitch/fulmarhitch/outcome"
)

const (
	namespace = "fulmarhitch"
	// maxRules bounds the values of the label "rule", and maxOrganisations those of the label "organisation"; further ones count
	// as "other".
	maxRules         = 200
	maxOrganisations = 200
	other            = "other"
)

// durationBuckets range from 1 ms to 30 s, in seconds.
var durationBuckets = []float64{.001, .005, .01, .025, .05, .1, .15, .2, .3, .4, .5, .75, 1, 1.5, 2, 3, 5, 10, 30}

// Origin tells who decided the status of an answer, in kebab case.
type Origin string

// Origins of answers.
const (
	// FromVM marks a status that a VM decided.
	FromVM Origin = "vm"
	// FromUpstream marks a status that an upstream decided.
	FromUpstream Origin = "upstream"
)

// Sources holds functions that return current values; they are called on each scrape.
type Sources struct {
	RulesVersion, StoreAge, Upstreams, VMs, Polls, LogDropped, BodyBytes, Evictions func() float64
	// Position returns the point in the store's history up to which this process knows its entries. It may be nil.
	Position func() (era, revision float64)
	// StoreCalls returns the calls of the store by purpose.
	StoreCalls func() map[string]uint64
	// Notices returns the numbers of upstreams for which a notice holds, by its kind. It may be nil.
	Notices func() map[string]uint64
	// Evacuated returns the numbers of evacuated failure domains and of their upstreams that get no requests for it. It may be nil.
	Evacuated func() (domains, upstreams float64)
	// Cold returns the number of cold upstreams, and ColdHeld that of the requests that the warm-up rate of one kept from it. Both may
	// be nil.
	Cold, ColdHeld func() float64
	// HeadBytes returns the memory held for heads of requests, and Connections the number of open connections of callers. They may be nil.
	HeadBytes, Connections func() float64
	// HasContact returns 1 if the VM reaches upstreams, else 0. It may be nil.
	HasContact func() float64
	// Limits returns the state of the limits of organisations. It may be nil.
	Limits func() LimitStatus
}

// LimitStatus holds the values of the metrics of the limits of organisations.
type LimitStatus struct {
	// Admitted and Refused are the numbers of requests of organisations with limits, and RefusedLocal that of those among the latter that
	// were refused without a valid share.
	Admitted, Refused, RefusedLocal uint64
	// Sent and Failed are the numbers of reports to other VMs.
	Sent, Failed uint64
	// ShareAge is the age of the shares, or negative if there are none.
	ShareAge time.Duration
	// Coordinates reports whether this VM decides the shares.
	Coordinates bool
}

// Metrics are the metrics of one process. Its methods are safe for concurrent use.
type Metrics struct {
	registry           *prometheus.Registry
	durations          *prometheus.HistogramVec
	requests, attempts *prometheus.CounterVec
	refusals, hedges   *prometheus.CounterVec
	slotsLeft          *prometheus.CounterVec
	promises           *prometheus.CounterVec
	organisations      *prometheus.CounterVec
	identityRefusals   *prometheus.CounterVec
	idleCloses         prometheus.Counter
	connRefusals       *prometheus.CounterVec

	mu    sync.Mutex
	rules map[string]bool
	// labelledOrganisations are those that have a label of their own.
	labelledOrganisations map[string]bool
}

// New returns metrics with a registry of their own.
func New(s Sources) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), rules: make(map[string]bool), labelledOrganisations: make(map[string]bool)}
	m.durations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_duration_seconds", Help: "Time from the receipt of a request to its outcome.",
		Buckets: durationBuckets,
	}, []string{"rule", "outcome"})
	m.requests = counter("requests_total", "Outcomes of forwarded requests.", "rule", "outcome", "reason")
	m.attempts = counter("attempts_total", "Sends to upstreams by their ends.", "rule", "end")
	m.refusals = counter("refusals_total", "Requests that were not forwarded.", "status")
	m.promises = counter("promises_total", "Answers whose status tells callers that their request did not run, by who decided it.", "status", "origin")
	m.organisations = counter("organisation_requests_total", "Requests of organisations by their outcome.", "organisation", "outcome")
	m.identityRefusals = counter("identity_refusals_total", "Requests refused because of their key or their organisation, by reason.", "reason")
	m.hedges = counter("hedges_total", "Second sends while the first was in progress.", "rule")
	m.slotsLeft = counter("slots_left_total", "Requests that left a free slot to others while they waited, by who came first.", "rule", "order")
	m.idleCloses = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "idle_closes_total", Help: "Connections of callers that were closed because they were idle.",
	})
	m.connRefusals = counter("connection_refusals_total", "Connections that were closed before a request was read from them, by the reason.", "reason")
	m.registry.MustRegister(m.durations, m.requests, m.attempts, m.refusals, m.promises, m.organisations, m.identityRefusals, m.hedges, m.slotsLeft, m.idleCloses, m.connRefusals)
	m.registry.MustRegister(labelled{storeCallsDesc, prometheus.CounterValue, s.StoreCalls})
	if s.Notices != nil {
		m.registry.MustRegister(labelled{noticesDesc, prometheus.GaugeValue, s.Notices})
	}
	m.registerFunc("rules_version", "Version of the rules in force.", s.RulesVersion)
	m.registerFunc("store_age_seconds", "Time since the store was last heard.", s.StoreAge)
	if s.Position != nil {
		m.registerFunc("store_era", "Number of the store's history that is followed.", func() float64 { era, _ := s.Position(); return era })
		m.registerFunc("store_revision", "Revision of the store up to which its entries are known.", func() float64 { _, revision := s.Position(); return revision })
	}
	m.registerFunc("upstreams", "Known upstreams.", s.Upstreams)
	if s.Evacuated != nil {
		m.registerFunc("evacuated_domains", "Failure domains that are evacuated.", func() float64 { domains, _ := s.Evacuated(); return domains })
		m.registerFunc("evacuated_upstreams", "Upstreams that get no requests because their failure domain is evacuated.", func() float64 { _, upstreams := s.Evacuated(); return upstreams })
	}
	if s.Cold != nil {
		m.registerFunc("cold_upstreams", "Upstreams that are cold.", s.Cold)
		m.registerFunc("cold_held_total", "Requests that the warm-up rate of a cold upstream kept from it.", s.ColdHeld)
	}
	if s.HasContact != nil {
		m.registerFunc("upstream_contact", "Whether this VM reaches any upstream (1) or none (0).", s.HasContact)
	}
	if s.Limits != nil {
		m.registerLimits(s.Limits)
	}
	m.registerFunc("vms", "Known VMs.", s.VMs)
	m.registerFunc("questions_total", "Questions to health endpoints.", s.Polls)
	if s.HeadBytes != nil {
		m.registerFunc("head_bytes", "Memory held for heads of requests.", s.HeadBytes)
	}
	if s.Connections != nil {
		m.registerFunc("caller_connections", "Open connections of callers.", s.Connections)
	}
	m.registerFunc("body_bytes", "Memory held by bodies of requests and answers.", s.BodyBytes)
	m.registerFunc("body_evictions_total", "Unfinished bodies that were cut off because memory was used up.", s.Evictions)
	m.registerFunc("log_dropped_total", "Log lines lost because standard output was blocked.", s.LogDropped)
	return m
}

// registerLimits registers the metrics of the limits of organisations.
func (m *Metrics) registerLimits(status func() LimitStatus) {
	m.registry.MustRegister(labelled{limitRequestsDesc, prometheus.CounterValue, func() map[string]uint64 {
		s := status()
		return map[string]uint64{"admitted": s.Admitted, "refused": s.Refused - s.RefusedLocal, "refused-without-share": s.RefusedLocal}
	}})
	m.registry.MustRegister(labelled{limitReportsDesc, prometheus.CounterValue, func() map[string]uint64 {
		s := status()
		return map[string]uint64{"sent": s.Sent, "failed": s.Failed}
	}})
	m.registerFunc("limit_share_age_seconds", "Age of the shares of the limits, or -1 if there are none.", func() float64 {
		if age := status().ShareAge; age >= 0 {
			return age.Seconds()
		}
		return -1
	})
	m.registerFunc("limit_coordinator", "Whether this VM decides the shares of the limits (1) or not (0).", func() float64 {
		if status().Coordinates {
			return 1
		}
		return 0
	})
}

// labelled collects numbers with one label.
type labelled struct {
	desc   *prometheus.Desc
	kind   prometheus.ValueType
	values func() map[string]uint64
}

var (
	storeCallsDesc    = prometheus.NewDesc(namespace+"_store_calls_total", "Calls of the store by purpose.", []string{"purpose"}, nil)
	limitRequestsDesc = prometheus.NewDesc(namespace+"_limit_requests_total", "Requests of organisations with limits, by the decision.", []string{"decision"}, nil)
	limitReportsDesc  = prometheus.NewDesc(namespace+"_limit_reports_total", "Reports about limits to other VMs, by their result; failed ones were sent too.", []string{"result"}, nil)
	noticesDesc       = prometheus.NewDesc(namespace+"_upstream_notices", "Upstreams for which a notice of their own holds, by its kind.", []string{"kind"}, nil)
)

// Describe sends the description of the metric.
func (l labelled) Describe(ch chan<- *prometheus.Desc) { ch <- l.desc }

// Collect sends the present values.
func (l labelled) Collect(ch chan<- prometheus.Metric) {
	for label, n := range l.values() {
		ch <- prometheus.MustNewConstMetric(l.desc, l.kind, float64(n), label)
	}
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// registerFunc registers a metric whose value is read on each scrape: a counter if the name ends in "_total", else a gauge.
func (m *Metrics) registerFunc(name, help string, value func() float64) {
	if strings.HasSuffix(name, "_total") {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value))
		return
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Handler serves the metrics in the exposition format of Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Done records the outcome and the duration of a forwarded request.
func (m *Metrics) Done(rule string, out outcome.Outcome, elapsed time.Duration) {
	rule = m.label(rule)
	name, reason := "answered", ""
	switch out := out.(type) {
	case outcome.Answered:
	case outcome.NotRun:
		name, reason = "not-run", string(out.Reason)
	case outcome.Unknown:
		name, reason = "unknown", string(out.Reason)
	}
	m.durations.WithLabelValues(rule, name).Observe(elapsed.Seconds())
	m.requests.WithLabelValues(rule, name, reason).Inc()
}

// Attempt counts an attempt at an upstream by the way it ended; end is empty if the attempt was still in progress.
func (m *Metrics) Attempt(rule, end string, hedge bool) {
	rule = m.label(rule)
	m.attempts.WithLabelValues(rule, end).Inc()
	if hedge {
		m.hedges.WithLabelValues(rule).Inc()
	}
}

// LeftSlot counts a request that left a free slot to others; order tells who came first.
func (m *Metrics) LeftSlot(rule, order string) {
	m.slotsLeft.WithLabelValues(m.label(rule), order).Inc()
}

// Refused counts a request that was not forwarded.
func (m *Metrics) Refused(status int) {
	m.refusals.WithLabelValues(strconv.Itoa(status)).Inc()
}

// Promised counts an answer whose status tells the caller that the request did not run.
func (m *Metrics) Promised(status int, origin Origin) {
	m.promises.WithLabelValues(strconv.Itoa(status), string(origin)).Inc()
}

// ClosedIdle counts connections of callers that were closed because they were idle.
func (m *Metrics) ClosedIdle(n int) {
	m.idleCloses.Add(float64(n))
}

// RefusedConnection counts a connection that was closed before a request was read from it.
func (m *Metrics) RefusedConnection(reason string) {
	m.connRefusals.WithLabelValues(reason).Inc()
}

// label returns the label value of the rule: "other" for a new one once there are maxRules.
func (m *Metrics) label(rule string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.rules[rule] {
		if len(m.rules) >= maxRules {
			return other
		}
		m.rules[rule] = true
	}
	return rule
}
