package proof

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUpstreamFaults guards against wrong outcomes, second runs and retries when upstream processes fail.
func TestUpstreamFaults(t *testing.T) {
	cases := map[string]func(f *fleet){
		"killed in the middle":   upstreamKilled,
		"black-holed":            upstreamFrozen,
		"refuses connections":    upstreamGone,
		"sheds":                  upstreamSheds,
		"all shed":               allShed,
		"fails fast":             upstreamFails,
		"all fail fast":          allFail,
		"black-holed in the run": frozenInRun,
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, shape{domains: 1, vms: 2, upstreams: 3, slots: 3, upstreamPrograms: true})
			Convey(name, t, func() { run(f) })
		})
	}
}

// inProgress starts a call and returns the upstream that runs it. The load before it earns a budget for retries, so that
// the budget is not what keeps the call from running again.
func inProgress(f *fleet, kind, k string) (*upstreamVM, <-chan told) {
	f.t.Helper()
	f.load("before", 64, 5*time.Second)
	for _, u := range f.upstreams {
		f.faults(u, late)
	}
	first := background(f.vms[0], kind, k, body, 4*time.Second)
	var at *upstreamVM
	f.until("the call runs", func() bool {
		for _, u := range f.upstreams {
			if f.ran(u)[digestOfBody(body)] > 0 {
				at = u
			}
		}
		return at != nil
	})
	return at, first
}

func upstreamKilled(f *fleet) {
	k := keyOf(f.vms[0])
	at, first := inProgress(f, act, k)
	at.last = f.ran(at)
	f.kill(at.process)
	told, again := <-first, send(f.vms[1], act, k, body, 5*time.Second)
	So(told.outcome, ShouldEqual, "unknown")
	So(again.outcome, ShouldEqual, "unknown")
	So(broken(act, body, f.runs(body), told, again), ShouldBeEmpty)
	for _, u := range f.upstreams {
		if u != at {
			f.faults(u, "{}")
		}
	}
	tr := f.load("after the kill", 200, 5*time.Second)
	So(tr.broken(f), ShouldBeEmpty)
	So(tr.count["answered"], ShouldBeGreaterThan, 100)
}

func frozenInRun(f *fleet) {
	k := keyOf(f.vms[0])
	at, first := inProgress(f, act, k)
	f.signal(at.process, syscall.SIGSTOP)
	told := <-first
	again := send(f.vms[1], act, k, body, 2*time.Second)
	f.signal(at.process, syscall.SIGCONT)
	So(told.outcome, ShouldEqual, "unknown")
	So(again.outcome, ShouldEqual, "unknown")
	So(broken(act, body, f.runs(body), told, again), ShouldBeEmpty)
}

func upstreamFrozen(f *fleet) {
	f.signal(f.upstreams[0].process, syscall.SIGSTOP)
	tr := f.load("black hole", 200, 1500*time.Millisecond)
	f.signal(f.upstreams[0].process, syscall.SIGCONT)
	f.settle()
	So(tr.broken(f), ShouldBeEmpty)
	So(tr.count["answered"], ShouldBeGreaterThan, 50)
}

// settle waits until the woken upstreams have run what their sockets still held.
func (f *fleet) settle() {
	last, same := "", 0
	f.until("the record of runs rests", func() bool {
		now := ""
		for _, u := range f.upstreams {
			now += fmt.Sprint(len(f.ran(u)), " ")
		}
		same++
		if now != last {
			last, same = now, 0
		}
		return same >= 20
	})
}

func upstreamGone(f *fleet) {
	f.upstreams[0].last = f.ran(f.upstreams[0])
	f.kill(f.upstreams[0].process)
	tr := f.load("refused connection", 200, 5*time.Second)
	So(tr.broken(f), ShouldBeEmpty)
	So(tr.count["answered"], ShouldBeGreaterThan, 100)
}

func upstreamSheds(f *fleet) {
	f.faults(f.upstreams[0], `{"shed":true}`)
	tr := f.load("shed", 200, 5*time.Second)
	So(tr.broken(f), ShouldBeEmpty)
	So(tr.count["answered"], ShouldBeGreaterThan, 100)
}

func allShed(f *fleet) {
	for _, u := range f.upstreams {
		f.faults(u, `{"shed":true}`)
	}
	tr := f.load("all shed", 100, 2*time.Second)
	So(tr.broken(f), ShouldBeEmpty)
	So(tr.count["answered"], ShouldEqual, 0)
	So(tr.count["not-run"], ShouldBeGreaterThan, 50)
}

func upstreamFails(f *fleet) {
	f.faults(f.upstreams[0], `{"fail-fast":true}`)
	tr := f.load("fails fast", 200, 5*time.Second)
	So(tr.broken(f), ShouldBeEmpty)
	So(tr.count["answered"], ShouldBeGreaterThan, 100)
}

func allFail(f *fleet) {
	for _, u := range f.upstreams {
		f.faults(u, `{"fail-fast":true}`)
	}
	for _, kind := range []string{lookup, act} {
		k := ""
		if kind == act {
			k = keyOf(f.vms[0])
		}
		t := send(f.vms[0], kind, k, body, 5*time.Second)
		So(t.outcome, ShouldEqual, "answered")
		So(t.status, ShouldEqual, http.StatusInternalServerError)
	}
}
