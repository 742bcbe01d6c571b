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
	// readTime is the time in which answers that have arrived are read, also after a pause of the process.
	readTime = 50 * time.Millisecond
	// maxGap is how much later than expected a wait may end. If it ends even later, the process was paused.
	maxGap = 100 * time.Millisecond
	// checkInterval is the time between two checks of evidence that doesn't suffice.
	checkInterval = 100 * time.Millisecond
	// minSilence is the time without an answer after which a poll or a dial counts as evidence. Round trips take some 20 ms at
	// most.
	minSilence = 200 * time.Millisecond
	// minSilent is the number of upstreams without an answer that calls for a probe while none answers, and minUnconnected the
	// number of those that can't be connected to while others answer on connections that were open before. Fewer suffice if
	// fewer are known.
	minSilent      = 2
	minUnconnected = 2
	// firstSample is the number of upstreams that are asked first while others answer on connections that were open before, and
	// wholeSample the number that are asked to find out whether the VM reaches any.
	firstSample = 2
	wholeSample = 8
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
	// Probe asks at most n upstreams of as many services as possible on new connections and returns once all have answered or
	// ctx is done.
	Probe func(ctx context.Context, n int) Probe
	// OnChange is called after the contact was lost or is back.
	OnChange func()
	Log      *logrus.Entry
}

// Monitor determines whether the VM has contact with upstreams. It is safe for concurrent use.
type Monitor struct {
	config Config

	mu sync.Mutex
	// polled holds the times of the first poll of each address since the last answer of any upstream, and dialed those of the
	// first dial since the last connection to any.
	polled, dialed map[string]time.Time
	// check fires when the evidence is to be checked; it is armed while there is some.
	check   *time.Timer
	isArmed bool
	// lost is closed while there is no contact, and replaced when there is again.
	lost chan struct{}
	// lastHeard is the time of the last answer of any upstream.
	lastHeard time.Time
}

// New returns a monitor that assumes contact.
func New(c Config) *Monitor {
	check := time.NewTimer(minSilence)
	check.Stop()
	return &Monitor{
		config: c, polled: make(map[string]time.Time), dialed: make(map[string]time.Time), check: check, lost: make(chan struct{}),
		lastHeard: time.Now(),
	}
}

// IsLost reports whether the VM reaches no upstream.
func (m *Monitor) IsLost() bool {
	select {
	case <-m.Lost():
		return true
	default:
		return false
	}
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
	m.addFirst(m.polled, address)
}

// Dialing records that a connection to the address is being opened.
func (m *Monitor) Dialing(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addFirst(m.dialed, address)
}

// Connected records that a connection to the address was opened.
func (m *Monitor) Connected(string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.dialed)
	m.disarm()
}

// Heard records an answer of an upstream.
func (m *Monitor) Heard() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeard = time.Now()
	clear(m.polled)
	m.disarm()
}

// addFirst sets the time of an address that has none; the caller holds mu.
func (m *Monitor) addFirst(times map[string]time.Time, address string) {
	if _, exists := times[address]; exists {
		return
	}
	times[address] = time.Now()
	if !m.isArmed {
		m.isArmed = true
		m.check.Reset(minSilence)
	}
}

// disarm stops the check if there is no evidence; the caller holds mu.
func (m *Monitor) disarm() {
	if m.isArmed && len(m.polled)+len(m.dialed) == 0 {
		m.isArmed = false
		m.check.Stop()
	}
}

// Run checks the evidence until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.check.C:
			began := time.Now()
			if !backoff.Sleep(ctx, readTime) {
				return
			}
			if time.Since(began) > readTime+maxGap {
				m.forget()
				continue
			}
		}
		silent, unconnected := m.isSuspect(time.Now())
		if !silent && !unconnected {
			m.rearm()
			continue
		}
		if p, isLost := m.confirm(ctx, silent); isLost {
			m.awaitContact(ctx, p)
		} else {
			m.forget()
			backoff.Sleep(ctx, probePause)
		}
	}
}

// rearm has the evidence checked again, if there is any.
func (m *Monitor) rearm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isArmed = len(m.polled)+len(m.dialed) > 0
	if m.isArmed {
		m.check.Reset(checkInterval)
	}
}

// confirm probes whether the VM reaches no upstream. If others answer on open connections, it asks few first.
func (m *Monitor) confirm(ctx context.Context, silent bool) (p Probe, isLost bool) {
	samples := []int{firstSample, wholeSample}
	if silent {
		samples = []int{wholeSample}
	}
	for _, n := range samples {
		began := time.Now()
		p = m.probe(ctx, n)
		// The process may have been paused during the probe.
		if p.Asked == 0 || p.Answered > 0 || time.Since(began) > probeTimeout+maxGap {
			return p, false
		}
	}
	return p, ctx.Err() == nil
}

// forget drops the evidence, because a probe has found contact or because its age isn't known after a pause of the process.
func (m *Monitor) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.polled)
	clear(m.dialed)
	m.isArmed = false
	m.check.Stop()
}

// isSuspect reports whether the evidence calls for a probe: because no upstream answers, or because none can be connected to.
func (m *Monitor) isSuspect(now time.Time) (isSilent, isUnconnected bool) {
	known := max(m.config.Known(), 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	silent, unconnected := 0, 0
	for _, t := range m.polled {
		if now.Sub(t) >= minSilence {
			silent++
		}
	}
	for address, t := range m.dialed {
		if now.Sub(t) < minSilence {
			continue
		}
		unconnected++
		if _, isPolled := m.polled[address]; !isPolled && !t.Before(m.lastHeard) {
			silent++
		}
	}
	return silent >= min(known, minSilent), unconnected >= min(known, minUnconnected)
}

func (m *Monitor) probe(ctx context.Context, n int) Probe {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return m.config.Probe(ctx, n)
}

// awaitContact records that the contact is lost and probes until it is back or ctx is done.
func (m *Monitor) awaitContact(ctx context.Context, p Probe) {
	m.mu.Lock()
	close(m.lost)
	began := time.Now()
	fields := logrus.Fields{
		"polled": len(m.polled), "dialed": len(m.dialed), "silent-ms": began.Sub(m.lastHeard).Milliseconds(),
		"asked": p.Asked,
	}
	m.mu.Unlock()
	m.config.Log.WithFields(fields).Warn("VM reaches no upstream")
	m.config.OnChange()
	// The jitter keeps the VMs of a partition from returning at the same time.
	for succeeded := 0; succeeded < minProbes && backoff.Sleep(ctx, retryInterval/2+rand.N(retryInterval)); {
		p = m.probe(ctx, wholeSample)
		succeeded++
		if p.Asked > 0 && p.Answered < min(p.Asked, minReached) {
			succeeded = 0
		}
	}
	if ctx.Err() != nil {
		return
	}
	m.forget()
	m.mu.Lock()
	m.lost = make(chan struct{})
	m.mu.Unlock()
	m.config.Log.WithFields(logrus.Fields{"lost-ms": time.Since(began).Milliseconds(), "answered": p.Answered, "asked": p.Asked}).
		Info("VM reaches upstreams again")
	m.config.OnChange()
}
