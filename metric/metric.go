package metric

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/fulmarhitch/fulmarhitch/declaration"
)

const namespace = "fulmarhitch"

// other is the label value for everything that isn't in the configuration in force.
const other = "other"

// Metrics are the metrics of one process. Its methods are safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry

	calls, waited, added            *prometheus.HistogramVec
	outcomes, retries, spills       *prometheus.CounterVec
	storeCalls, events              *prometheus.CounterVec
	probes                          prometheus.Counter
	generation, members, ledgerKeys prometheus.Gauge
	freeSlots, waiting              *prometheus.GaugeVec

	mu         sync.Mutex
	classes    atomic.Pointer[map[classKey]*Class]
	groups     atomic.Pointer[map[string]*Group]
	otherClass *Class
	otherGroup *Group
}

// classKey identifies the metrics of a class.
type classKey struct{ tenant, class string }

// callBuckets range from 0.25 ms to 60 s, the longest timeout of a kind, in seconds.
var callBuckets = []float64{
	.00025, .0005, .001, .002, .003, .005, .0075, .01, .015, .02, .03, .05, .075, .1, .2, .5, 1, 2, 5, 10, 30, 60,
}

// addedBuckets, in seconds, are dense around the target of 0.57 ms.
var addedBuckets = []float64{.00005, .0001, .0002, .0003, .0004, .0005, .00057, .0007, .001, .002, .005, .01, .02, .05, .1, 1}

// New returns metrics with a registry of their own.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.calls = m.histograms("call_duration_seconds", "Time from the receipt of a call to its outcome.", callBuckets, "outcome")
	m.waited = m.histograms("queue_wait_seconds", "Time of a call in the queue of its home.", callBuckets)
	m.added = m.histograms("added_seconds", "Time of a call without the time at the upstream and in the queue.", addedBuckets)
	m.outcomes = m.counters("outcomes_total", "Outcomes of calls.", "tenant", "class", "outcome", "reason")
	m.retries = m.counters("retries_total", "Further attempts of calls.", "tenant", "class")
	m.spills = m.counters("spills_total", "Calls sent to the home of another group.", "tenant", "class")
	m.storeCalls = m.counters("store_calls_total", "Calls of the key-value store.", "operation")
	m.events = m.counters("events_total", "Events learnt from peers.", "kind")
	m.probes = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "probes_total", Help: "Probes sent to upstreams."})
	m.generation = m.gauge("generation", "Generation of the configuration in force.")
	m.members = m.gauge("members", "Live entry VMs known.")
	m.ledgerKeys = m.gauge("ledger_keys", "Request keys held.")
	m.freeSlots = m.gauges("free_slots", "Free slots of a group that this VM is home of.")
	m.waiting = m.gauges("waiting", "Calls in the queue of a group that this VM is home of.")
	m.registry.MustRegister(m.probes)
	m.otherClass, m.otherGroup = m.newClass(classKey{other, other}), m.newGroup(other)
	m.classes.Store(&map[classKey]*Class{})
	m.groups.Store(&map[string]*Group{})
	return m
}

// Handler serves the metrics in the exposition format of Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry, so that a service can add metrics of its own.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

func (m *Metrics) histograms(name, help string, buckets []float64, more ...string) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, append([]string{"tenant", "class"}, more...))
	m.registry.MustRegister(v)
	return v
}

func (m *Metrics) counters(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m *Metrics) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(g)
	return g
}

func (m *Metrics) gauges(name, help string) *prometheus.GaugeVec {
	v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{"group"})
	m.registry.MustRegister(v)
	return v
}

// Update sets the known label values to the tenants and classes of the configuration in force and to the groups, and
// deletes the metrics of all others.
func (m *Metrics) Update(d *declaration.Declaration, groups []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateClasses(d)
	m.updateGroups(groups)
}

func (m *Metrics) updateClasses(d *declaration.Declaration) {
	old, current := *m.classes.Load(), map[classKey]*Class{}
	for _, s := range d.Services {
		for _, k := range s.Kinds {
			key := classKey{s.Tenant, k.Class}
			if c := old[key]; c != nil {
				current[key] = c
			} else if current[key] == nil {
				current[key] = m.newClass(key)
			}
		}
	}
	m.classes.Store(&current)
	for key := range old {
		if current[key] == nil {
			m.deleteClass(key)
		}
	}
}

func (m *Metrics) updateGroups(groups []string) {
	old, current := *m.groups.Load(), map[string]*Group{}
	for _, g := range groups {
		if current[g] = old[g]; current[g] == nil {
			current[g] = m.newGroup(g)
		}
	}
	m.groups.Store(&current)
	for g := range old {
		if current[g] == nil {
			m.freeSlots.DeleteLabelValues(g)
			m.waiting.DeleteLabelValues(g)
		}
	}
}

// Class returns the metrics of a tenant and class, or those of "other" if it isn't known.
func (m *Metrics) Class(tenant, class string) *Class {
	if c := (*m.classes.Load())[classKey{tenant, class}]; c != nil {
		return c
	}
	return m.otherClass
}

// Group returns the metrics of a group, or those of "other" if it isn't known.
func (m *Metrics) Group(group string) *Group {
	if g := (*m.groups.Load())[group]; g != nil {
		return g
	}
	return m.otherGroup
}

// Probe counts a probe of an upstream.
func (m *Metrics) Probe() { m.probes.Inc() }

// StoreCall counts a call to the store; operation is get, put or watch.
func (m *Metrics) StoreCall(operation string) { m.storeCalls.WithLabelValues(operation).Inc() }

// Event counts an event; kind is member, upstream, suspect or generation.
func (m *Metrics) Event(kind string) { m.events.WithLabelValues(kind).Inc() }

// SetGeneration sets the generation of the configuration in force.
func (m *Metrics) SetGeneration(n uint64) { m.generation.Set(float64(n)) }

// SetMembers sets the number of live entry VMs.
func (m *Metrics) SetMembers(n int) { m.members.Set(float64(n)) }

// SetLedgerKeys sets the number of keys that the ledger holds.
func (m *Metrics) SetLedgerKeys(n int) { m.ledgerKeys.Set(float64(n)) }
