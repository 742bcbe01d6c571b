package proof

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUpstreamFaults guards against incorrect outcomes, second runs and retries when upstream processes fail.
func TestUpstreamFaults(t *testing.T) {
	cases := map[string]func(f *fleet){
		"killed in the middle":   upstreamKilled,
		"black-holed":            upstreamFrozen,
		"refuses connections":    upstreamRefusesConnections,
		"sheds":                  upstreamSheds,
		"all shed":               allUpstreamsShed,
		"fails fast":             upstreamFailsFast,
		"all fail fast":          allUpstreamsFailFast,
		"black-holed in the run": upstreamFrozenDuringRun,
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetConfig{domains: 1, vms: 2, upstreams: 3, slots: 3, upstreamPrograms: true})
			Convey(name, t, func() { run(f) })
		})
	}
}

// startCall starts a call and returns the upstream that runs it. It sends some load before the call to fill the retry
// budget, so that an empty budget is not the reason why the call does not run again.
func startCall(f *fleet, kind, k string) (*upstreamVM, <-chan result) {
	f.t.Helper()
	f.load("before", 64, 5*time.Second)
	for _, u := range f.upstreams {
		f.setFaults(u, lateAnswers)
	}
	first := sendInBackground(f.vms[0], kind, k, body, 4*time.Second)
	var busy *upstreamVM
	f.waitUntil("the call runs", func() bool {
		for _, u := range f.upstreams {
			if f.runsAt(u)[bodyDigest(body)] > 0 {
				busy = u
			}
		}
		return busy != nil
	})
	return busy, first
}

func upstreamKilled(f *fleet) {
	k := newKey(f.vms[0])
	busy, first := startCall(f, registration, k)
	busy.finalRuns = f.runsAt(busy)
	f.kill(busy.process)
	interrupted, repeated := <-first, send(f.vms[1], registration, k, body, 5*time.Second)
	So(interrupted.outcome, ShouldEqual, "unknown")
	So(repeated.outcome, ShouldEqual, "unknown")
	So(violation(registration, body, f.runs(body), interrupted, repeated), ShouldBeEmpty)
	for _, u := range f.upstreams {
		if u != busy {
			f.setFaults(u, "{}")
		}
	}
	results := f.load("after the kill", 200, 5*time.Second)
	So(results.violations(f), ShouldBeEmpty)
	So(results.countByOutcome["answered"], ShouldBeGreaterThan, 100)
}

func upstreamFrozenDuringRun(f *fleet) {
	k := newKey(f.vms[0])
	busy, first := startCall(f, registration, k)
	f.signal(busy.process, syscall.SIGSTOP)
	interrupted := <-first
	repeated := send(f.vms[1], registration, k, body, 2*time.Second)
	f.signal(busy.process, syscall.SIGCONT)
	So(interrupted.outcome, ShouldEqual, "unknown")
	So(repeated.outcome, ShouldEqual, "unknown")
	So(violation(registration, body, f.runs(body), interrupted, repeated), ShouldBeEmpty)
}

func upstreamFrozen(f *fleet) {
	f.signal(f.upstreams[0].process, syscall.SIGSTOP)
	results := f.load("black hole", 200, 1500*time.Millisecond)
	f.signal(f.upstreams[0].process, syscall.SIGCONT)
	f.waitRunsSettled()
	So(results.violations(f), ShouldBeEmpty)
	So(results.countByOutcome["answered"], ShouldBeGreaterThan, 50)
}

// waitRunsSettled waits until the resumed upstreams have run the requests that were buffered in their sockets.
func (f *fleet) waitRunsSettled() {
	previous, unchanged := "", 0
	f.waitUntil("the record of runs stops changing", func() bool {
		current := ""
		for _, u := range f.upstreams {
			current += fmt.Sprint(len(f.runsAt(u)), " ")
		}
		unchanged++
		if current != previous {
			previous, unchanged = current, 0
		}
		return unchanged >= 20
	})
}

func upstreamRefusesConnections(f *fleet) {
	f.upstreams[0].finalRuns = f.runsAt(f.upstreams[0])
	f.kill(f.upstreams[0].process)
	results := f.load("refused connection", 200, 5*time.Second)
	So(results.violations(f), ShouldBeEmpty)
	So(results.countByOutcome["answered"], ShouldBeGreaterThan, 100)
}

func upstreamSheds(f *fleet) {
	f.setFaults(f.upstreams[0], `{"shed":true}`)
	results := f.load("shed", 200, 5*time.Second)
	So(results.violations(f), ShouldBeEmpty)
	So(results.countByOutcome["answered"], ShouldBeGreaterThan, 100)
}

func allUpstreamsShed(f *fleet) {
	for _, u := range f.upstreams {
		f.setFaults(u, `{"shed":true}`)
	}
	results := f.load("all shed", 100, 2*time.Second)
	So(results.violations(f), ShouldBeEmpty)
	So(results.countByOutcome["answered"], ShouldEqual, 0)
	So(results.countByOutcome["not-run"], ShouldBeGreaterThan, 50)
}

func upstreamFailsFast(f *fleet) {
	f.setFaults(f.upstreams[0], `{"fail-fast":true}`)
	results := f.load("fails fast", 200, 5*time.Second)
	So(results.violations(f), ShouldBeEmpty)
	So(results.countByOutcome["answered"], ShouldBeGreaterThan, 100)
}

func allUpstreamsFailFast(f *fleet) {
	for _, u := range f.upstreams {
		f.setFaults(u, `{"fail-fast":true}`)
	}
	for _, kind := range []string{lookup, registration} {
		k := ""
		if kind == registration {
			k = newKey(f.vms[0])
		}
		r := send(f.vms[0], kind, k, body, 5*time.Second)
		So(r.outcome, ShouldEqual, "answered")
		So(r.status, ShouldEqual, http.StatusInternalServerError)
	}
}
