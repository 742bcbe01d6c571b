package contact

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fulmarhitch/fulmarhitch/backoff"
)

const (
	// checkInterval is the time between two checks of the evidence.
	checkInterval = 50 * time.Millisecond
	// maxCheckGap is the time between two checks above which the process counts as having been paused.
	maxCheckGap = 150 * time.Millisecond
	// minSilence is the time without an answer after which a poll or a dial counts as evidence. Round trips take some 20 ms at
	// most.
	minSilence = 200 * time.Millisecond
	// minAddresses is the number of upstreams without an answer that are needed for a probe, if as many are known.
	minAddresses = 4
	// probeTimeout bounds a probe.
	probeTimeout = 200 * time.Millisecond
	// probePause is the time between a probe that found contact and the next one, and retryInterval the mean time between two
	// probes while the contact is lost.
	probePause    = 500 * time.Millisecond
	retryInterval = 400 * time.Millisecond
	// minReached is the number of upstreams that have to answer a probe, if as many are asked, and minProbes the number of
	// probes in succession until lost contact counts as back.
	minReached = 2
	minProbes  = 2
)

// Probe is the result of a probe: the numbers of upstreams that were asked and that answered.
type Probe struct {
	Asked, Answered int
}

// Config holds the dependencies of a monitor.
type Config struct {
	// Known returns the number of known upstreams.
	Known func() int
	// Probe asks a sample of upstreams of all services on new connections and returns once all have answered or ctx is done.
	Probe func(ctx context.Context) Probe
	// OnChange is called after the contact was lost or is back.
	OnChange func()
	Log      *logrus.Entry
}

// Monitor determines whether the VM has contact with upstreams. It is safe for concurrent use.
type Monitor struct {
	config Config

	mu sync.Mutex
	// unanswered holds the times of the first poll or dial of each address since the last answer of any upstream, and
	// unconnected those of the first dial since the last connection to any.
	unanswered, unconnected map[string]time.Time
	// lost is closed while there is no contact, and replaced when there is again.
	lost   chan struct{}
	isLost bool
	// lastHeard is the time of the last answer of any upstream.
	lastHeard time.Time
}

// New returns a monitor that assumes contact.
func New(c Config) *Monitor {
	return &Monitor{
		config: c, unanswered: make(map[string]time.Time), unconnected: make(map[string]time.Time), lost: make(chan struct{}),
		lastHeard: time.Now(),
	}
}

// IsLost reports whether the VM reaches no upstream.
func (m *Monitor) IsLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLost
}

// Lost returns a channel that is closed while the VM reaches no upstream, or at the next time that it doesn't.
func (m *Monitor) Lost() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// Polled records that a poll was sent to the address.
func (m *Monitor) Polled(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addFirst(m.unanswered, address)
}

// Dialing records that a connection to the address is being opened.
func (m *Monitor) Dialing(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addFirst(m.unanswered, address)
	addFirst(m.unconnected, address)
}

// Connected records that a connection to the address was opened.
func (m *Monitor) Connected(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The upstream may work on the request for a long time before it answers.
	delete(m.unanswered, address)
	clear(m.unconnected)
}

// Heard records an answer of an upstream.
func (m *Monitor) Heard() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeard = time.Now()
	clear(m.unanswered)
}

// addFirst sets the time of an address that has none.
func addFirst(times map[string]time.Time, address string) {
	if _, exists := times[address]; !exists {
		times[address] = time.Now()
	}
}

// Run checks the evidence until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	lastCheck := time.Now()
	for backoff.Sleep(ctx, checkInterval) {
		now := time.Now()
		isPaused := now.Sub(lastCheck) > maxCheckGap
		lastCheck = now
		if isPaused {
			m.forget()
			continue
		}
		if !m.isSuspect(now) {
			continue
		}
		if p := m.probe(ctx); p.Asked > 0 && p.Answered == 0 && time.Since(now) < probeTimeout+maxCheckGap {
			m.recover(ctx, p)
		} else {
			m.forget()
			backoff.Sleep(ctx, probePause)
		}
		lastCheck = time.Now()
	}
}

// forget drops the evidence, whose age is not known after a pause of the process.
func (m *Monitor) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.unanswered)
	clear(m.unconnected)
}

// isSuspect reports whether the evidence calls for a probe.
func (m *Monitor) isSuspect(now time.Time) bool {
	needed := min(max(m.config.Known(), 1), minAddresses)
	m.mu.Lock()
	defer m.mu.Unlock()
	return countOld(m.unanswered, now) >= needed || countOld(m.unconnected, now) >= needed
}

// countOld returns the number of times that are older than minSilence.
func countOld(times map[string]time.Time, now time.Time) int {
	n := 0
	for _, t := range times {
		if now.Sub(t) >= minSilence {
			n++
		}
	}
	return n
}

func (m *Monitor) probe(ctx context.Context) Probe {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return m.config.Probe(ctx)
}

// recover records that the contact is lost and probes until it is back or ctx is done.
func (m *Monitor) recover(ctx context.Context, p Probe) {
	m.mu.Lock()
	m.isLost = true
	close(m.lost)
	began := time.Now()
	fields := logrus.Fields{
		"unanswered": len(m.unanswered), "unconnected": len(m.unconnected), "silent-ms": began.Sub(m.lastHeard).Milliseconds(),
		"asked": p.Asked,
	}
	m.mu.Unlock()
	m.config.Log.WithFields(fields).Warn("VM reaches no upstream")
	m.config.OnChange()
	// The jitter keeps the VMs of a partition from returning at the same time.
	for succeeded := 0; succeeded < minProbes && backoff.Sleep(ctx, retryInterval/2+rand.N(retryInterval)); {
		p = m.probe(ctx)
		if p.Asked > 0 && p.Answered < min(p.Asked, minReached) {
			succeeded = 0
			continue
		}
		succeeded++
	}
	m.forget()
	m.mu.Lock()
	m.isLost = false
	m.lost = make(chan struct{})
	m.mu.Unlock()
	m.config.Log.WithFields(logrus.Fields{"lost-ms": time.Since(began).Milliseconds(), "answered": p.Answered, "asked": p.Asked}).
		Info("VM reaches upstreams again")
	m.config.OnChange()
}
