package contact_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fulmarhitch/fulmarhitch/contact"
)

// network models the upstreams as one VM reaches them.
type network struct {
	mu sync.Mutex
	// answering is the number of the sampled upstreams that answer a probe.
	answering int
	// probes counts the upstreams that were asked.
	probes  int
	changes int
}

const sampled = 8

func (n *network) probe(ctx context.Context, asked int) contact.Probe {
	n.mu.Lock()
	n.probes += asked
	answering := n.answering
	n.mu.Unlock()
	if answering < asked {
		<-ctx.Done()
	}
	return contact.Probe{Asked: asked, Answered: min(asked, answering)}
}

// setAnswering changes the number of upstreams that answer.
func (n *network) setAnswering(answering int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answering = answering
}

// counts returns the numbers of upstreams that were asked and of changes of the contact.
func (n *network) counts() (probes, changes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probes, n.changes
}

// countChange counts a change of the contact.
func (n *network) countChange() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changes++
}

// start returns a running monitor.
func (n *network) start(t *testing.T) *contact.Monitor {
	l := logrus.New()
	l.SetOutput(io.Discard)
	m := contact.New(contact.Config{
		Known: func() int { return 30 }, Probe: n.probe, OnChange: n.countChange, Log: logrus.NewEntry(l),
	})
	go m.Run(t.Context())
	return m
}

// address returns the address of an upstream.
func address(i int) string { return fmt.Sprintf("192.0.2.%d:80", i) }

// TestLost guards against a VM that doesn't notice that it reaches no upstream, and against one that takes failed upstreams, slow
// answers or a pause of its own process for that.
func TestLost(t *testing.T) {
	tests := map[string]struct {
		answering int
		// evidence is called each 10 ms.
		evidence func(m *contact.Monitor, step int)
		isLost   bool
	}{
		"polls without an answer": {0, func(m *contact.Monitor, step int) { m.Polled(address(step % 6)) }, true},
		"dials that hang":         {0, func(m *contact.Monitor, step int) { m.Dialing(address(step % 6)) }, true},
		"dials that are refused while kept connections live": {0, func(m *contact.Monitor, step int) {
			m.Dialing(address(step % 6))
			m.Heard()
		}, true},
		"no traffic":                     {0, func(*contact.Monitor, int) {}, false},
		"one upstream without an answer": {0, func(m *contact.Monitor, _ int) { m.Polled(address(0)) }, false},
		"a poll and a dial without an answer": {0, func(m *contact.Monitor, _ int) {
			m.Polled(address(0))
			m.Dialing(address(1))
		}, true},
		"polls without an answer on connections that are opened": {0, func(m *contact.Monitor, step int) {
			m.Dialing(address(step % 2))
			m.Connected(address(step % 2))
			m.Polled(address(step % 2))
		}, true},
		"one upstream that can't be connected to while others answer": {0, func(m *contact.Monitor, _ int) {
			m.Dialing(address(0))
			m.Heard()
		}, false},
		"a service without an answer, others answer": {sampled, func(m *contact.Monitor, step int) { m.Polled(address(step % 6)) }, false},
		"one of the sample answers":                  {1, func(m *contact.Monitor, step int) { m.Polled(address(step % 6)) }, false},
		"answers between polls": {0, func(m *contact.Monitor, step int) {
			m.Polled(address(step % 6))
			if step%15 == 0 {
				m.Heard()
			}
		}, false},
		"long work on new connections": {0, func(m *contact.Monitor, step int) {
			m.Dialing(address(step % 6))
			m.Connected(address(step % 6))
		}, false},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			synctest.Test(t, func(t *testing.T) {
				n := &network{answering: test.answering}
				m := n.start(t)
				for step := range 100 {
					test.evidence(m, step)
					time.Sleep(10 * time.Millisecond)
				}
				if m.IsLost() != test.isLost {
					t.Errorf("%s: lost = %t, want %t", name, m.IsLost(), test.isLost)
				}
			})
		})
	}
}

// TestDetectionTime guards against a VM that notices late that it reaches no upstream: callers keep an answer for three times its
// lifetime, and what is sent until then fails.
func TestDetectionTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		m := n.start(t)
		start := time.Now()
		for i := range 4 {
			m.Polled(address(i))
		}
		<-m.Lost()
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("noticed after %s, want at most 500ms", took)
		}
	})
}

// TestReturn guards against a VM that counts as back after a single answer, that flaps, or that doesn't come back.
func TestReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		m := n.start(t)
		for i := range 4 {
			m.Polled(address(i))
		}
		<-m.Lost()
		n.setAnswering(1)
		time.Sleep(5 * time.Second)
		if !m.IsLost() {
			t.Error("one answer of eight counts as contact")
		}
		n.setAnswering(sampled / 2)
		time.Sleep(2 * time.Second)
		if _, changes := n.counts(); m.IsLost() || changes != 2 {
			t.Errorf("lost = %t after 2 s with contact, %d changes; want false, 2", m.IsLost(), changes)
		}
		select {
		case <-m.Lost():
			t.Error("channel of the next loss is closed")
		default:
		}
	})
}

// TestProbeRate guards against a VM that probes without pause while many upstreams have failed and others answer, each probe of
// which opens a connection.
func TestProbeRate(t *testing.T) {
	tests := map[string]struct {
		evidence  func(m *contact.Monitor, step int)
		maxProbes int
	}{
		"polls without an answer": {func(m *contact.Monitor, step int) { m.Polled(address(step % 6)) }, 20 * sampled},
		"dials that fail": {func(m *contact.Monitor, step int) {
			m.Dialing(address(step % 6))
			m.Heard()
		}, 40},
	}
	for name, test := range tests {
		Convey("Given "+name, t, func() {
			synctest.Test(t, func(t *testing.T) {
				n := &network{answering: sampled}
				m := n.start(t)
				for step := range 1000 {
					test.evidence(m, step)
					time.Sleep(10 * time.Millisecond)
				}
				if probes, _ := n.counts(); probes > test.maxProbes {
					t.Errorf("%s: %d upstreams asked in 10 s, want at most %d", name, probes, test.maxProbes)
				}
			})
		})
	}
}
